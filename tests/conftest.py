"""Provide shared fixtures and the Hypothesis profile."""

from __future__ import annotations

from hypothesis import settings

settings.register_profile('ci', derandomize=True, deadline=None)
settings.load_profile('ci')
