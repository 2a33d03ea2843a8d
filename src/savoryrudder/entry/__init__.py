"""Implement the entry role as a reducer."""

from __future__ import annotations
