"""Dispatch sub-second tasks from callers to upstreams."""

from __future__ import annotations

__version__ = '0.1.0'
