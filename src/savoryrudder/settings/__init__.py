"""Define and load the settings of the daemons."""

from __future__ import annotations
