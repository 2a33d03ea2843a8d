"""Define conversion factors between units."""

from __future__ import annotations

from typing import Final

MS_PER_S: Final = 1000
