"""Run tasks on an agent's executor, within its capacity and lease."""

from __future__ import annotations
