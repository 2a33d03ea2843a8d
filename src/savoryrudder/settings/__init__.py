"""Settings of the daemons."""

from __future__ import annotations
