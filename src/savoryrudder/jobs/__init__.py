"""Describe jobs of tasks with declared needs, and the queues they go to."""

from __future__ import annotations
