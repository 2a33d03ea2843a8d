"""Run all benchmarks except the replay of site days."""

from __future__ import annotations

from bench import agent_cost
from bench import entry_cost
from bench import latency
from bench import links
from bench import policy
from bench import recovery

if __name__ == '__main__':
    for benchmark in (policy, recovery, entry_cost, agent_cost, links, latency):
        benchmark.main()
