"""Provide effects, identifiers and units that the roles share."""

from __future__ import annotations
