"""Count the lines that a call executes, as a cost without a clock."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType


class _LineCounter:
    """Count the lines that are executed while it is the trace function."""

    def __init__(self) -> None:
        self.lines = 0

    def __call__(self, frame: FrameType, event: str, argument: Any) -> Any:
        """Count a line; trace the called functions as well."""
        if event == 'line':
            self.lines += 1
        return self


def count_lines(action: Callable[[], object]) -> int:
    """Return the number of lines of Python that a call executes.

    The iterations of a loop or comprehension on one line count one by one.
    """
    counter = _LineCounter()
    previous = sys.gettrace()
    sys.settrace(counter)
    try:
        action()
    finally:
        sys.settrace(previous)
    return counter.lines
