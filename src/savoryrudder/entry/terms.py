"""Read and renew the standing terms of clients."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any
from typing import Final

from savoryrudder.entry import documents
from savoryrudder.entry.state import ClientTerms
from savoryrudder.entry.state import PendingCall
from savoryrudder.policy.model import URGENCY_BANDS
from savoryrudder.policy.model import Terms
from savoryrudder.store import interface
from savoryrudder.utils.identifiers import partition_of
from savoryrudder.utils.identifiers import submission_id

if TYPE_CHECKING:
    from savoryrudder.entry.limits import Usage
    from savoryrudder.entry.turn import Turn
    from savoryrudder.policy.model import Client

# Number of steps from a client's initial terms to their ceiling.
STEPS: Final = 10
# All clients together cause at most one store call in this time.
CALL_INTERVAL_S: Final = 1
READS_PER_LIFETIME: Final = 4
# Renewals are spread over this range of the lifetime, counted from its end.
RENEWAL_WINDOW: Final = (0.1, 0.3)
RETRY_S: Final = 5
# Highest fractions of exceeded tasks and of faulty jobs with which a renewal
# still raises the step.
MAX_EXCEEDED: Final = 0.01
MAX_FAULTY: Final = 0.05


def refresh_terms(turn: Turn) -> None:
    """Read or renew the terms of the client that is most overdue."""
    state = turn.state
    if state.policy is None:
        return
    if state.terms_revision != state.revision:
        _apply_policy(turn)
    if turn.now < state.next_terms_call_at:
        return
    candidates = [
        (_due_at(turn, client), client)
        for client in state.admission.limits.clients()
        if client in state.policy.clients
        and not _record(turn, client).pending_call
    ]
    due_at, client = min(candidates, default=(float('inf'), ''))
    if due_at > turn.now:
        return
    state.next_terms_call_at = turn.now + CALL_INTERVAL_S
    record = _record(turn, client)
    if _may_renew(turn, client, record):
        _renew(turn, client, record)
    else:
        _read(turn, client, record)


def handle_read_terms(
    turn: Turn,
    client: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Apply terms that were read; settle a renewal without an answer."""
    record = _record(turn, client)
    record.pending_call = ''
    if not isinstance(outcome, interface.KeyValue):
        # The last grant stays in force.
        record.read_at = turn.now + _jittered(turn, RETRY_S)
        return
    pending_token = record.token
    record.token = ''
    document = _apply_stored_terms(turn, client, outcome)
    if pending_token and document and document['token'] == pending_token:
        turn.state.admission.limits.reset_usage(client)


def handle_swapped_terms(
    turn: Turn,
    client: str,
    outcome: interface.StoreOutcome,
) -> None:
    """Apply the outcome of a renewal."""
    record = _record(turn, client)
    record.pending_call = ''
    if isinstance(outcome, interface.Swapped):
        record.token = ''
        turn.count('terms_renewed')
        turn.state.admission.limits.reset_usage(client)
        stored = interface.KeyValue('', outcome.version, record.proposed_value)
        _apply_stored_terms(turn, client, stored)
    elif isinstance(outcome, interface.SwapConflict):
        # Another entry has renewed the terms; only its step counts.
        record.token = ''
        turn.state.admission.limits.reset_usage(client)
        _apply_stored_terms(turn, client, outcome.current)
    else:
        # Only a read shows whether the write has taken effect.
        record.read_at = turn.now + _jittered(turn, RETRY_S)


def report(turn: Turn, client: str) -> dict[str, Any] | None:
    """Describe the terms in force; None for an unknown client."""
    policy = turn.state.policy
    definition = policy.clients.get(client) if policy else None
    if definition is None:
        return None
    record = _record(turn, client)
    terms = terms_at(definition, record.step)
    return {
        'client': client,
        'rate': terms.rate,
        'burst': terms.burst,
        'concurrent': terms.concurrent,
        'highest_urgency': terms.highest_urgency,
        'expires_in_s': max(0, round(record.expires - turn.wall)),
        'step': record.step,
    }


def terms_at(client: Client, step: int) -> Terms:
    """Return the terms at a step between the initial ones and the ceiling."""
    initial = client.terms
    ceiling = client.ceiling
    progress = min(max(step, 0), STEPS) / STEPS
    lowest = URGENCY_BANDS.index(initial.highest_urgency)
    highest = URGENCY_BANDS.index(ceiling.highest_urgency)
    return Terms(
        _interpolate(initial.rate, ceiling.rate, progress),
        int(_interpolate(initial.burst, ceiling.burst, progress)),
        int(_interpolate(initial.concurrent, ceiling.concurrent, progress)),
        URGENCY_BANDS[lowest - int((lowest - highest) * progress)],
        int(_interpolate(initial.lifetime_s, ceiling.lifetime_s, progress)),
    )


def next_step(step: int, usage: Usage) -> int:
    """Return the step of a renewal, given the usage since the last one."""
    offered = usage.accepted + usage.exceeded
    if usage.exceeded > MAX_EXCEEDED * offered:
        return max(0, step - 1)
    if usage.accepted and usage.faulty <= MAX_FAULTY * usage.jobs:
        return min(STEPS, step + 1)
    return step


def _due_at(turn: Turn, client: str) -> float:
    record = _record(turn, client)
    if _may_renew(turn, client, record):
        return min(record.renew_at, record.read_at)
    return record.read_at


def _may_renew(turn: Turn, client: str, record: ClientTerms) -> bool:
    """Tell whether a renewal is due here and the stored terms are known."""
    if not record.loaded or record.token or record.renew_at > turn.now:
        return False
    usage = turn.state.admission.limits.usage(client)
    partition = partition_of(submission_id(client, 'terms'))
    return usage.jobs > 0 and partition in turn.state.owned


def _read(turn: Turn, client: str, record: ClientTerms) -> None:
    record.pending_call = 'read'
    turn.call_store(
        interface.ReadKey(f'{documents.TERMS_PREFIX}{client}'),
        PendingCall('read-terms', client),
    )


def _renew(turn: Turn, client: str, record: ClientTerms) -> None:
    state = turn.state
    usage = state.admission.limits.usage(client)
    step = record.step
    if record.version:
        step = next_step(step, usage)
    lifetime_s = _terms(turn, client, step).lifetime_s
    record.token = f'{state.identity.name}/{state.rng.getrandbits(64):x}'
    record.proposed_value = documents.encode_terms(
        {
            'step': step,
            'expires': turn.wall + lifetime_s,
            'token': record.token,
        },
    )
    record.pending_call = 'swap'
    turn.call_store(
        interface.CompareAndSwap(
            f'{documents.TERMS_PREFIX}{client}',
            record.version,
            record.proposed_value,
            '',
        ),
        PendingCall('swap-terms', client),
    )


def _apply_stored_terms(
    turn: Turn,
    client: str,
    stored: interface.KeyValue,
) -> documents.TermsDocument | None:
    """Apply stored terms and schedule the next read and renewal."""
    record = _record(turn, client)
    record.loaded = True
    record.version = stored.version
    document = documents.decode_terms(stored.value) if stored.value else None
    record.step = 0
    record.expires = 0
    if document is not None:
        record.step = document['step']
        record.expires = document['expires']
        lifetime_s = _terms(turn, client, record.step).lifetime_s
        if turn.wall > record.expires + lifetime_s:
            # The terms have not been renewed for a whole lifetime.
            record.step = 0
    lifetime_s = _grant_terms(turn, client).lifetime_s
    record.read_at = turn.now + _jittered(turn, lifetime_s / READS_PER_LIFETIME)
    lead_s = turn.state.rng.uniform(*RENEWAL_WINDOW) * lifetime_s
    record.renew_at = turn.now + record.expires - turn.wall - lead_s
    return document


def _apply_policy(turn: Turn) -> None:
    state = turn.state
    state.terms_revision = state.revision
    clients = state.policy.clients if state.policy else {}
    for client in tuple(state.terms):
        if client in clients:
            _grant_terms(turn, client)
        else:
            state.terms.pop(client)


def _grant_terms(turn: Turn, client: str) -> Terms:
    terms = _terms(turn, client, _record(turn, client).step)
    turn.state.admission.limits.grant(client, terms, turn.now)
    return terms


def _terms(turn: Turn, client: str, step: int) -> Terms:
    policy = turn.state.policy
    assert policy
    return terms_at(policy.clients[client], step)


def _record(turn: Turn, client: str) -> ClientTerms:
    record = turn.state.terms.get(client)
    if record is None:
        record = ClientTerms()
        turn.state.terms[client] = record
    return record


def _interpolate(initial: float, ceiling: float, progress: float) -> float:
    return initial * math.pow(ceiling / initial, progress)


def _jittered(turn: Turn, seconds: float) -> float:
    return seconds * turn.state.rng.uniform(0.8, 1)
