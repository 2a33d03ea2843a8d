"""Run all measurements."""

from __future__ import annotations

from bench import policy

if __name__ == '__main__':
    policy.main()
