"""Try the programs as real processes on loopback."""

from __future__ import annotations
