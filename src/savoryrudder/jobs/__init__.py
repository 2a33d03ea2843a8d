"""Define jobs, their resource requirements, and the queues that accept them."""

from __future__ import annotations
