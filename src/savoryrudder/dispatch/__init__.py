"""Accept jobs at an entry and place their tasks on executors."""

from __future__ import annotations
