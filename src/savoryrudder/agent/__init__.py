"""Implement the agent role as a reducer."""

from __future__ import annotations
