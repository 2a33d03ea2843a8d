"""Simulate the upstreams of the agents."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from fakes.processes import Process
    from fakes.world import World


def result_of(payload: bytes) -> bytes:
    """Return the result that every upstream computes for a payload."""
    return bytes(reversed(payload))


class Upstreams:
    """Run tasks; `modes` names the fault of the upstream of an agent."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.modes: dict[str, str] = {}
        self.duration_s = (0.05, 0.6)

    def call(self, agent: Process, call: Any) -> None:
        """Start a task, whether or not the agent receives its end."""
        self._world.oracle.note_start(agent, call, self._world.clock.now)
        mode = self.modes.get(agent.name, '')
        delay = self._world.clock.randomness.uniform(*self.duration_s)
        result = result_of(call.payload)
        if mode == 'hang':
            # The daemon abandons the call some time after its deadline.
            self.finish(call.deadline_ms / 500, agent, call.task, 'unknown')
            return
        if mode == 'late':
            delay += call.deadline_ms / 1000
        if mode in {'failed', 'unknown'}:
            self.finish(delay / 10, agent, call.task, mode)
            return
        self.finish(delay, agent, call.task, 'complete', result)
        if mode == 'twice':
            self.finish(delay + 0.2, agent, call.task, 'complete', result)

    def finish(self, delay: float, agent: Process, *outcome: Any) -> None:
        """Report the key, outcome and result of a task after a delay."""
        result = outcome[2] if len(outcome) > 2 else b''
        end = ('UpstreamFinished', *outcome[:2], result, '')
        self._world.clock.after(delay, agent.post, *end)
