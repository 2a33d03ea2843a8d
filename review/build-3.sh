#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15: Python files without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_3
python3 - <<'PYTHON'
import pathlib

if not pathlib.Path('target/deps/savoryrudder').is_dir():
    raise SystemExit('run the build of deploy/system.toml first')
PYTHON
