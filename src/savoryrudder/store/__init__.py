"""Access the platform's key-value service."""

from __future__ import annotations
