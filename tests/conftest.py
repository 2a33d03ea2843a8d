"""Provide shared fixtures and the Hypothesis profile."""

from __future__ import annotations

from hypothesis import Phase
from hypothesis import settings

# Shrinking a long history takes minutes; the failing one is printed whole.
settings.register_profile(
    'ci',
    derandomize=True,
    deadline=None,
    phases=(Phase.explicit, Phase.generate),
)
settings.load_profile('ci')
