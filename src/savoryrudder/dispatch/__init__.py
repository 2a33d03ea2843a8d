"""Accept jobs at an entry and place their tasks on executors by room."""

from __future__ import annotations
