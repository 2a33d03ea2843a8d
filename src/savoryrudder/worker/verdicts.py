"""Define the answers of an executor to starts of runs and to probes."""

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
# The instance that was asked for answered.
PRESENT: Final = 'present'
# Another instance listens at the address of the one that was asked for.
ABSENT: Final = 'absent'
