"""Name what an executor says to a start."""

from __future__ import annotations

from typing import Final

STARTED: Final = 'started'
# The run will not start: the executor refused it and changed nothing.
REFUSED: Final = 'refused'
# A run that is not higher than one that ended there before.
OUTDATED: Final = 'outdated'
# The executor has seen a higher fencing token.
FENCED: Final = 'fenced'
# Another life of the executor answered.
OTHER_LIFE: Final = 'other-life'
# No answer; the run may start, even seconds later.
UNKNOWN: Final = 'unknown'
