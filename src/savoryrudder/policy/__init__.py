"""Define the configuration written by operators: its model, checks and diff."""

from __future__ import annotations
