"""Run tasks on the executor beside an agent, within its room and lease."""

from __future__ import annotations
