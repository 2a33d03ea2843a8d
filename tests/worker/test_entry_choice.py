"""Test which entries an agent links with."""

from __future__ import annotations

import itertools
from collections import Counter

from savoryrudder.protocol.members import Member
from savoryrudder.worker.entry_choice import choose_entries

# Links of an agent at the target size (docs/CAPACITY.md).
MAX_LINKS = 24
ZONES = ('north', 'south', 'east')


def _entries(per_zone: int) -> list[Member]:
    return [
        Member(f'{zone}-{number}', f'10.0.0.{number}:1', zone)
        for zone in ZONES
        for number in range(per_zone)
    ]


def test_the_number_of_links_does_not_grow_with_the_entries() -> None:
    """Guard against agents that link with every entry of a large fleet."""
    few = choose_entries('a1', 'north', _entries(10))
    many = choose_entries('a1', 'north', _entries(120))
    assert len(few) == len(many)
    assert len(many) <= MAX_LINKS


def test_few_entries_are_all_linked() -> None:
    """Guard against an executor that an entry of a small fleet cannot use."""
    entries = _entries(1)
    assert set(choose_entries('a1', 'north', entries)) == set(entries)


def test_an_agent_links_with_other_zones_too() -> None:
    """Guard against executors that stand idle once their zone is lost."""
    chosen = choose_entries('a1', 'north', _entries(4))
    remote = [entry for entry in chosen if entry.zone != 'north']
    assert len(remote) >= 2
    assert len(chosen) > 2 * len(remote)


def test_the_links_are_spread_over_the_entries() -> None:
    """Guard against entries without executors beside crowded ones."""
    entries = _entries(4)
    links: Counter[str] = Counter()
    for zone, number in itertools.product(ZONES, range(20)):
        chosen = choose_entries(f'{zone}-a{number}', zone, entries)
        links.update(entry.name for entry in chosen)
    mean = links.total() / len(entries)
    assert set(links) == {entry.name for entry in entries}
    assert min(links.values()) > mean / 2
    assert max(links.values()) < mean * 2


def test_the_loss_of_an_entry_changes_one_link() -> None:
    """Guard against links that all move when one entry restarts."""
    entries = _entries(4)
    before = choose_entries('a1', 'north', entries)
    entries.remove(before[0])
    after = choose_entries('a1', 'north', entries)
    assert set(before) - set(after) == {before[0]}
    assert len(after) == len(before)
