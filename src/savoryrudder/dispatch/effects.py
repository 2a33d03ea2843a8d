"""Define the effects of the dispatch reducer."""

from __future__ import annotations

from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.dispatch.answers import Answer
from savoryrudder.dispatch.answers import QueueLength
from savoryrudder.utils.effects import CloseLink
from savoryrudder.utils.effects import Count
from savoryrudder.utils.effects import Exit
from savoryrudder.utils.effects import Log
from savoryrudder.utils.effects import Observe
from savoryrudder.utils.effects import Send
from savoryrudder.utils.effects import SetCarriesWork


class Reply(NamedTuple):
    """Send the answer to a caller's request."""

    request_id: int
    answer: Answer | QueueLength


DispatchEffect: TypeAlias = (
    Send | CloseLink | SetCarriesWork | Count | Observe | Log | Exit | Reply
)
