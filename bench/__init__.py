"""Benchmarks of savoryrudder."""

from __future__ import annotations
