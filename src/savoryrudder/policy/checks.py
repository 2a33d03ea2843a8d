"""Check a configuration as a whole."""

from __future__ import annotations

import re
from collections.abc import Iterator
from graphlib import CycleError
from graphlib import TopologicalSorter
from typing import Any
from typing import Final
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from savoryrudder.policy import schema
from savoryrudder.policy.document import parse_toml
from savoryrudder.policy.findings import Finding
from savoryrudder.policy.findings import KeyPath
from savoryrudder.policy.findings import ModelT
from savoryrudder.policy.findings import Violation
from savoryrudder.policy.findings import locate_violations
from savoryrudder.policy.findings import validate
from savoryrudder.policy.model import URGENCY_BANDS
from savoryrudder.policy.model import Client
from savoryrudder.policy.model import Limits
from savoryrudder.policy.model import Operation
from savoryrudder.policy.model import Policy
from savoryrudder.policy.model import Service
from savoryrudder.policy.model import Terms

# Names are used in HTTP headers and store keys.
_NAME: Final = re.compile('[A-Za-z0-9][A-Za-z0-9._-]{0,63}')
_NAME_MESSAGE: Final = (
    'a name has 1 to 64 letters, digits, dots, dashes or underscores '
    'and starts with a letter or digit'
)
# Decimal shares such as 0.7 + 0.2 + 0.1 do not add up exactly in binary.
_SHARE_TOLERANCE: Final = 1e-9
_BOUNDED_TERMS: Final = ('rate', 'burst', 'concurrent', 'lifetime_s')


class _Tables(NamedTuple):
    """Hold the tables that match their schema.

    `service_names` includes the services whose table does not.
    """

    services: dict[str, schema.ServiceTable]
    clients: dict[str, schema.ClientTable]
    bands: dict[str, schema.BandTable]
    limits: schema.LimitsTable | None
    service_names: frozenset[str]


def parse_policy(text: str) -> Result[Policy, tuple[Finding, ...]]:
    """Return the policy of a TOML text, or all findings in its order.

    A syntax error hides all other findings, because the text has no values
    then. Lines and columns count from 1.
    """
    parsed = parse_toml(text)
    if parsed.is_error():
        return Error(parsed.error)
    document = parsed.ok
    tables, violations = _read_tables(document.values)
    violations.extend(_cross_table_violations(tables))
    if violations:
        return Error(locate_violations(violations, document.locate))
    return Ok(_to_policy(tables))


def _read_tables(raw: dict[str, Any]) -> tuple[_Tables, list[Violation]]:
    _, violations = validate(schema.DocumentTable, raw)
    services = _read_named_tables(
        raw, 'services', schema.ServiceTable, violations
    )
    clients = _read_named_tables(raw, 'clients', schema.ClientTable, violations)
    bands = _read_named_tables(raw, 'urgency', schema.BandTable, violations)
    limits, limit_violations = validate(
        schema.LimitsTable,
        raw.get('limits', {}),
        ('limits',),
    )
    violations.extend(limit_violations)
    names = frozenset(_section(raw, 'services'))
    return _Tables(services, clients, bands, limits, names), violations


def _read_named_tables(
    raw: dict[str, Any],
    section: str,
    model: type[ModelT],
    violations: list[Violation],
) -> dict[str, ModelT]:
    valid: dict[str, ModelT] = {}
    for name, table in _section(raw, section).items():
        path = (section, name)
        checked, table_violations = validate(model, table, path)
        violations.extend(table_violations)
        violations.extend(_name_violations(name, path))
        if checked is not None:
            valid[name] = checked
    return valid


def _section(raw: dict[str, Any], section: str) -> dict[str, Any]:
    """Return a top-level table, or an empty one if it is no table."""
    table = raw.get(section)
    return table if isinstance(table, dict) else {}


def _name_violations(name: str, path: KeyPath) -> Iterator[Violation]:
    if _NAME.fullmatch(name) is None:
        yield Violation(path, _NAME_MESSAGE)


def _cross_table_violations(tables: _Tables) -> Iterator[Violation]:
    if not tables.service_names:
        yield Violation(('services',), 'no service is declared')
    for service, service_table in tables.services.items():
        yield from _service_violations(service, service_table, tables)
    yield from _cycle_violations(tables.services)
    for client, client_table in tables.clients.items():
        yield from _client_violations(('clients', client), client_table)
    yield from _share_violations(tables.bands)


def _service_violations(
    name: str,
    table: schema.ServiceTable,
    tables: _Tables,
) -> Iterator[Violation]:
    path = ('services', name)
    for index, dependency in enumerate(table.depends_on):
        if dependency not in tables.service_names:
            yield Violation(
                (*path, 'depends_on', index),
                f'unknown service "{dependency}"',
            )
    for operation in table.operations:
        yield from _name_violations(operation, (*path, 'operations', operation))
    limits = tables.limits
    if limits and table.default_deadline_ms > limits.max_deadline_ms:
        yield Violation(
            (*path, 'default_deadline_ms'),
            f'exceeds limits.max_deadline_ms ({limits.max_deadline_ms})',
        )


def _cycle_violations(
    services: dict[str, schema.ServiceTable],
) -> Iterator[Violation]:
    # The search below is quadratic, and most configurations have no cycle.
    if not _has_cycle(services):
        return
    reported: set[frozenset[str]] = set()
    for name in services:
        cycle = _find_cycle(name, services)
        members = frozenset(cycle)
        if cycle and members not in reported:
            reported.add(members)
            yield Violation(
                ('services', name, 'depends_on'),
                'dependency cycle: {0}'.format(' -> '.join((*cycle, name))),
            )


def _has_cycle(services: dict[str, schema.ServiceTable]) -> bool:
    sorter = TopologicalSorter(
        {name: table.depends_on for name, table in services.items()},
    )
    try:
        sorter.prepare()
    except CycleError:
        return True
    return False


def _find_cycle(
    start: str,
    services: dict[str, schema.ServiceTable],
) -> tuple[str, ...]:
    """Return the shortest path from a service back to itself."""
    paths: list[tuple[str, ...]] = [(start,)]
    visited = {start}
    for path in paths:
        table = services.get(path[-1])
        for dependency in table.depends_on if table else ():
            if dependency == start:
                return path
            if dependency not in visited:
                visited.add(dependency)
                paths.append((*path, dependency))
    return ()


def _client_violations(
    path: KeyPath,
    table: schema.ClientTable,
) -> Iterator[Violation]:
    for key in _BOUNDED_TERMS:
        bound = getattr(table.ceiling, key)
        term = getattr(table, key)
        if bound is not None and term > bound:
            yield Violation((*path, key), f'{term} exceeds its ceiling {bound}')
    yield from _urgency_violations(path, table)


def _urgency_violations(
    path: KeyPath,
    table: schema.ClientTable,
) -> Iterator[Violation]:
    highest = table.highest_urgency
    ceiling = table.ceiling.highest_urgency
    if highest not in URGENCY_BANDS:
        yield _unknown_urgency((*path, 'highest_urgency'), highest)
    if ceiling is None:
        return
    if ceiling not in URGENCY_BANDS:
        yield _unknown_urgency((*path, 'ceiling', 'highest_urgency'), ceiling)
    elif highest in URGENCY_BANDS and _rank(highest) < _rank(ceiling):
        yield Violation(
            (*path, 'highest_urgency'),
            f'{highest} exceeds its ceiling {ceiling}',
        )


def _share_violations(
    bands: dict[str, schema.BandTable],
) -> Iterator[Violation]:
    for name in bands:
        if name not in URGENCY_BANDS:
            yield _unknown_urgency(('urgency', name), name)
    total = sum(table.share for table in bands.values())
    if total > 1 + _SHARE_TOLERANCE:
        yield Violation(
            ('urgency',), f'the shares add up to {total:g}, above 1'
        )


def _unknown_urgency(path: KeyPath, name: str) -> Violation:
    known = ', '.join(URGENCY_BANDS)
    return Violation(path, f'unknown urgency "{name}", known are {known}')


def _rank(urgency: str) -> int:
    return URGENCY_BANDS.index(urgency)


def _to_policy(tables: _Tables) -> Policy:
    limits = tables.limits or schema.LimitsTable()
    return Policy(
        {
            name: _to_service(name, table)
            for name, table in tables.services.items()
        },
        {
            name: _to_client(name, table)
            for name, table in tables.clients.items()
        },
        {
            band: tables.bands[band].share if band in tables.bands else 0
            for band in URGENCY_BANDS
        },
        Limits(
            limits.max_tasks,
            limits.max_payload_bytes,
            limits.max_deadline_ms,
        ),
    )


def _to_service(name: str, table: schema.ServiceTable) -> Service:
    operations = {
        operation: Operation(operation, spec.idempotent, spec.expected_ms)
        for operation, spec in table.operations.items()
    }
    return Service(
        name,
        operations,
        table.default_deadline_ms,
        table.slots,
        table.memory_mb,
        tuple(table.depends_on),
    )


def _to_client(name: str, table: schema.ClientTable) -> Client:
    terms = Terms(
        table.rate,
        table.burst,
        table.concurrent,
        table.highest_urgency,
        table.lifetime_s,
    )
    bounds = table.ceiling.model_dump(exclude_none=True)
    return Client(name, terms, terms._replace(**bounds), table.weight)
