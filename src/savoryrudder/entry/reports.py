"""Answer operators' requests for status, configuration and terms."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from savoryrudder.entry import terms
from savoryrudder.entry.leases import may_act
from savoryrudder.protocol.messages import Leaving

if TYPE_CHECKING:
    from savoryrudder.entry.events import AgentDrainRequested
    from savoryrudder.entry.events import ReportRequested
    from savoryrudder.entry.turn import Turn


def handle_report_requested(turn: Turn, event: ReportRequested) -> None:
    """Report status, configuration or terms."""
    state = turn.state
    if event.kind == 'status':
        turn.reply_json(event.request_id, 200, _status(turn))
    elif event.kind == 'config':
        turn.reply_json(
            event.request_id,
            200,
            {
                'revision': state.revision,
                'author': state.config_author,
                'token': state.config_token,
                'applied_at': state.config_applied_at,
                'text': state.config_text,
            },
        )
    else:
        _report_terms(turn, event)


def _report_terms(turn: Turn, event: ReportRequested) -> None:
    client_terms = None
    if event.kind == 'terms':
        client_terms = terms.report(turn, event.name)
    if client_terms is not None:
        turn.reply_json(event.request_id, 200, client_terms)
        return
    turn.reply_json(
        event.request_id,
        404,
        {
            'reason': 'not-found',
            'detail': f'no {event.kind} named {event.name!r}',
        },
    )


def handle_agent_drain(turn: Turn, event: AgentDrainRequested) -> None:
    """Forward an operator's request for a graceful stop to an agent."""
    if event.agent in turn.state.agents:
        turn.send(event.agent, Leaving())
        turn.reply_json(event.request_id, 202, {'agent': event.agent})
        return
    turn.reply_json(
        event.request_id,
        404,
        {
            'reason': 'not-found',
            'detail': f'no agent named {event.agent!r} is linked',
        },
    )


def _status(turn: Turn) -> dict[str, Any]:
    state = turn.state
    unopened = [
        owned
        for owned in state.owned.values()
        if owned.awaited_agents or owned.roster_incomplete or owned.stale
    ]
    return {
        'entry': state.identity.name,
        'revision': state.revision,
        'live_entries': [
            {
                'entry': name,
                'address': document['http'],
                'revision': (
                    state.revision
                    if name == state.identity.name
                    else state.peers[name].revision
                ),
            }
            for name, document in state.live_entries.items()
        ],
        'agents': [
            report._asdict() | {'revision': state.agents[report.agent].revision}
            for report in state.fleet.reports()
        ],
        'partitions': {
            'owned': len(state.owned),
            'open': len(state.owned) - len(unopened),
            'in_doubt': len(unopened),
        },
        'queued': {
            service: len(queue) for service, queue in state.queues.items()
        },
        'store': 'up' if state.store.available else 'down',
        'may_act': may_act(state, turn.now),
        'draining': state.drain_started is not None,
    }
