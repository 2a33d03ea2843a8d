"""Adapt the dispatcher to the users' platform.

The platform's names and formats are confined to this package.
"""

from __future__ import annotations
