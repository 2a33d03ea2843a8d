"""Compare whole sessions with the committed ones.

`PYTHONPATH=src:tests .venv/bin/python -m golden.sessions` rewrites the files;
the difference is to be read before it is committed.
"""

from __future__ import annotations

import pytest
from golden.sessions import SESSIONS
from golden.sessions import path_of
from golden.sessions import text_of


@pytest.mark.parametrize('name', SESSIONS)
def test_session_is_as_recorded(name: str) -> None:
    """Guard against unnoticed changes of events, effects and their order."""
    assert text_of(name) == path_of(name).read_text()
