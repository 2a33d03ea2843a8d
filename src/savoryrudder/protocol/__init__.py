"""Define the messages between the processes of savoryrudder."""

from __future__ import annotations
