"""Test how a request finds its queue."""

from __future__ import annotations

from functools import partial

from fakes.cost import count_lines
from hypothesis import given
from hypothesis import strategies as st

from savoryrudder.jobs.model import Configuration
from savoryrudder.jobs.model import Queue

QUEUE = Queue('q', 'a.example', '/p/', 's', 0, 1, 1.6, 60)
MAX_GROWTH = 2
_prefixes = st.text('/ab', min_size=1, max_size=5)


def _configuration(
    prefixes: list[str], host: str = 'a.example'
) -> Configuration:
    queues = {
        str(number): QUEUE._replace(name=str(number), host=host, prefix=prefix)
        for number, prefix in enumerate(prefixes)
    }
    return Configuration(1, queues)


@given(st.lists(_prefixes, max_size=8), st.text('/ab', max_size=8))
def test_the_longest_matching_prefix_is_found(
    prefixes: list[str],
    path: str,
) -> None:
    """Guards against a request that runs on another queue's executors."""
    found = _configuration(prefixes).find_queue('a.example', path)
    matching = [prefix for prefix in prefixes if path.startswith(prefix)]
    if found is None:
        assert not matching
    else:
        assert found.prefix == max(matching, key=len)


def test_another_host_has_no_queue() -> None:
    """Guards against a path that is looked up without its host."""
    configuration = _configuration(['/p/'])
    assert configuration.find_queue('b.example', '/p/x') is None


def _search_cost(routes: int) -> int:
    prefixes = [f'/{number:04}/' for number in range(routes)]
    configuration = _configuration(prefixes)
    configuration.find_queue('a.example', '/0000/x')
    return count_lines(
        partial(configuration.find_queue, 'a.example', '/0000/x'),
    )


def test_a_search_costs_the_same_with_many_routes() -> None:
    """Guards against a search of 1,600 routes for each request."""
    assert _search_cost(1600) <= MAX_GROWTH * _search_cost(10)
