"""Settings of the daemon."""

from __future__ import annotations
