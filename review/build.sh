#!/usr/bin/env bash
# Builds the stand-ins that the cases start: Python programs, checked here.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q lib 1 2 3 4
