"""Run all measurements."""

from __future__ import annotations

from bench import agent_cost
from bench import entry_cost
from bench import latency
from bench import links
from bench import policy
from bench import recovery

if __name__ == '__main__':
    for measure in (policy, recovery, entry_cost, agent_cost, links, latency):
        measure.main()
