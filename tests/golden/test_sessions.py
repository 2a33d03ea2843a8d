"""Compare recorded sessions with the golden files.

`PYTHONPATH=src:tests .venv/bin/python -m golden.sessions` rewrites the files;
review the difference before committing it.
"""

from __future__ import annotations

import pytest
from golden.sessions import SESSIONS
from golden.sessions import golden_path
from golden.sessions import record_session


@pytest.mark.parametrize('name', SESSIONS)
def test_session_is_as_recorded(name: str) -> None:
    """Guard against unintended changes of events, effects and their order."""
    assert record_session(name) == golden_path(name).read_text()
