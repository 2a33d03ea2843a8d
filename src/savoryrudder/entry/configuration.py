"""Apply and change the configuration."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

from savoryrudder.entry import documents
from savoryrudder.entry.state import PendingCall
from savoryrudder.entry.submissions import queue_settings
from savoryrudder.policy.checks import parse_policy
from savoryrudder.protocol.messages import Config
from savoryrudder.protocol.messages import FetchConfig
from savoryrudder.store import interface

if TYPE_CHECKING:
    from savoryrudder.entry.events import ConfigSubmitted
    from savoryrudder.entry.turn import Turn


def apply_stored_config(turn: Turn, version: int, value: str) -> None:
    """Apply a configuration from the store unless it is outdated."""
    document = documents.decode_config(value)
    state = turn.state
    if version <= state.revision:
        return
    state.config_author = document['author']
    state.config_token = document['token']
    state.config_applied_at = document['applied_at']
    _apply_config(turn, version, document['text'])


def handle_config(turn: Turn, message: Config) -> None:
    """Apply a configuration from a peer unless it is outdated."""
    if message.revision > turn.state.revision and message.text:
        _apply_config(turn, message.revision, message.text)


def send_config(turn: Turn, peer: str) -> None:
    """Send this entry's configuration to a process that requested it."""
    turn.send(peer, Config(turn.state.revision, turn.state.config_text))


def track_revision(turn: Turn, peer: str, revision: int) -> None:
    """Record a peer's revision; request its configuration if it is newer."""
    state = turn.state
    link = state.agents.get(peer) or state.peers.get(peer)
    if link is None or link.revision == revision:
        return
    link.revision = revision
    if revision > state.revision:
        turn.send(peer, FetchConfig())


def handle_config_submitted(turn: Turn, event: ConfigSubmitted) -> None:
    """Check a configuration and write it if the revision is as expected."""
    checked = parse_policy(event.text)
    if checked.is_error():
        turn.reply_json(
            event.request_id,
            422,
            {'findings': [finding._asdict() for finding in checked.error]},
        )
        return
    applied_at = datetime.datetime.fromtimestamp(event.wall, datetime.UTC)
    turn.call_store(
        interface.CompareAndSwap(
            documents.CONFIG_KEY,
            event.expected_revision,
            documents.encode(
                {
                    'text': event.text,
                    'author': event.author,
                    'applied_at': applied_at.isoformat(timespec='seconds'),
                    'token': event.token,
                },
            ),
            '',
        ),
        PendingCall('swap-config', event),
    )


def handle_swapped_config(
    turn: Turn,
    event: ConfigSubmitted,
    outcome: interface.StoreOutcome,
) -> None:
    """Report the outcome of a configuration change to the operator."""
    if isinstance(outcome, interface.Swapped):
        turn.reply_json(event.request_id, 200, {'revision': outcome.version})
    elif isinstance(outcome, interface.SwapConflict):
        _report_conflict(turn, event, outcome.current)
    else:
        # The write may have taken effect; read the key to find out.
        turn.call_store(
            interface.ReadKey(documents.CONFIG_KEY),
            PendingCall('read-config', event),
        )


def handle_read_config(
    turn: Turn,
    event: ConfigSubmitted,
    outcome: interface.StoreOutcome,
) -> None:
    """Report the outcome of a change that the store did not answer."""
    if not isinstance(outcome, interface.KeyValue):
        turn.reply_json(
            event.request_id,
            503,
            {
                'reason': 'store-unavailable',
                'outcome': 'unknown',
                'detail': 'the store gave no answer; the change may be made',
            },
        )
        return
    if outcome.value and _token_of(outcome.value) == event.token:
        turn.reply_json(event.request_id, 200, {'revision': outcome.version})
    elif outcome.version == event.expected_revision:
        turn.reply_json(
            event.request_id,
            503,
            {
                'reason': 'store-unavailable',
                'outcome': 'not-run',
                'detail': 'the store did not take the change',
            },
        )
    else:
        _report_conflict(turn, event, outcome)


def _token_of(value: str) -> str:
    return documents.decode_config(value)['token']


def _report_conflict(
    turn: Turn,
    event: ConfigSubmitted,
    current: interface.KeyValue,
) -> None:
    if current.value and _token_of(current.value) == event.token:
        # A retried write conflicts with its own first attempt.
        turn.reply_json(event.request_id, 200, {'revision': current.version})
        return
    author = ''
    text = ''
    if current.value:
        document = documents.decode_config(current.value)
        author = document['author']
        text = document['text']
    turn.reply_json(
        event.request_id,
        409,
        {'revision': current.version, 'author': author, 'text': text},
    )


def _apply_config(turn: Turn, revision: int, text: str) -> None:
    state = turn.state
    checked = parse_policy(text)
    if checked.is_error():
        turn.log_change('configuration_rejected', revision=str(revision))
        return
    policy = checked.ok
    state.revision = revision
    state.config_text = text
    state.policy = policy
    for queue in state.queues.values():
        queue.configure(*queue_settings(policy))
    turn.log_change('configuration_in_force', revision=str(revision))
