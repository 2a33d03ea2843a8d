"""The operators' text: its model, checks and differences."""

from __future__ import annotations
