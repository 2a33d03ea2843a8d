"""Measure savoryrudder."""

from __future__ import annotations
