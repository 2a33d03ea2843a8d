"""The entry role, implemented as a reducer."""

from __future__ import annotations
