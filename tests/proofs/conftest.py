"""Provide worlds that an oracle watches."""

from __future__ import annotations
