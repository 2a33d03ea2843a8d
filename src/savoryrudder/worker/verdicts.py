"""Define the answers of an executor to a request to start a run."""

from __future__ import annotations

from typing import Final

STARTED: Final = 'started'
# The executor refused the run and changed nothing; it will not start.
REFUSED: Final = 'refused'
# A run of the same task with this or a higher number has already ended there.
OUTDATED: Final = 'outdated'
# The executor has seen a higher fencing token.
FENCED: Final = 'fenced'
# Another instance of the executor answered.
OTHER_INSTANCE: Final = 'other-life'
# The request got no usable answer; the run may still start seconds later.
UNKNOWN: Final = 'unknown'
