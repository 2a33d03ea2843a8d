"""Provide worlds that an oracle watches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from fakes.world import World
from oracle import Oracle

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def make_world() -> Callable[..., World]:
    """Return a function that starts a world from a seed."""
    return lambda seed, **sizes: World(Oracle(), seed, **sizes)
