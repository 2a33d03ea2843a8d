"""Test the programs as separate processes on loopback."""

from __future__ import annotations
