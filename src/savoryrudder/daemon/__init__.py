"""Runtime of the daemons: sockets, timers and HTTP around the reducers."""

from __future__ import annotations
