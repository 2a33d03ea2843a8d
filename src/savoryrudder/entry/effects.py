"""Define the effects of the entry reducer."""

from __future__ import annotations

from typing import Any
from typing import NamedTuple
from typing import TypeAlias

from savoryrudder.protocol.messages import Answer
from savoryrudder.store.interface import StoreOperation
from savoryrudder.utils import effects


class Reply(NamedTuple):
    """Answer a caller's request."""

    request_id: int
    answer: Answer


class ReplyJson(NamedTuple):
    """Answer an operator's request with an HTTP status and a JSON object."""

    request_id: int
    status: int
    body: dict[str, Any]


class CallStore(NamedTuple):
    """Call the store; a `StoreAnswered` event returns the outcome."""

    call: int
    operation: StoreOperation


class ConnectPeer(NamedTuple):
    """Maintain a link to the entry that listens at this join address."""

    address: str


class DisconnectPeer(NamedTuple):
    """Stop connecting to a join address that no known entry uses."""

    address: str


EntryEffect: TypeAlias = (
    effects.Send
    | effects.CloseLink
    | effects.Count
    | effects.Observe
    | effects.Log
    | effects.Exit
    | Reply
    | ReplyJson
    | CallStore
    | ConnectPeer
    | DisconnectPeer
)
