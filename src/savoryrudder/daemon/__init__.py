"""Connect the reducers to sockets, timers and HTTP."""

from __future__ import annotations
