"""Limit what each client may submit."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from savoryrudder.policy.model import Terms


class TokenBucket:
    """Limit a rate and allow bursts; the bucket starts full."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Create a bucket that refills `rate` tokens a second."""
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now

    def configure(self, rate: float, burst: float, now: float) -> None:
        """Change rate and burst without granting tokens."""
        if (rate, burst) == (self._rate, self._burst):
            return
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def wait_s(self, tokens: float, now: float) -> float:
        """Return the seconds until so many tokens are available."""
        self._refill(now)
        return max(0, tokens - self._tokens) / self._rate

    def take(self, tokens: float, now: float) -> bool:
        """Take tokens if all of them are available."""
        self._refill(now)
        if tokens > self._tokens:
            return False
        self._tokens -= tokens
        return True

    def _refill(self, now: float) -> None:
        if now <= self._refilled_at:
            return
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now


@dataclasses.dataclass(slots=True)
class Usage:
    """Count the use of a client's terms since their last renewal.

    `accepted` counts accepted tasks, `exceeded` tasks refused by the terms,
    `faulty` jobs that would be refused under any terms, `jobs` all jobs.
    """

    accepted: int = 0
    exceeded: int = 0
    faulty: int = 0
    jobs: int = 0


@dataclasses.dataclass(slots=True)
class ClientAccount:
    """Track one client's tokens, running tasks and use of its terms."""

    terms: Terms
    bucket: TokenBucket
    running: int = 0
    usage: Usage = dataclasses.field(default_factory=Usage)


class ClientLimits:
    """Hold the accounts of the clients that have submitted jobs."""

    def __init__(self) -> None:
        """Create limits without accounts."""
        self._accounts: dict[str, ClientAccount] = {}
        self._granted: dict[str, Terms] = {}

    def grant(self, client: str, terms: Terms, now: float) -> None:
        """Apply standing terms to a client."""
        self._granted[client] = terms
        account = self._accounts.get(client)
        if account is not None:
            account.terms = terms
            account.bucket.configure(terms.rate, terms.burst, now)

    def account(self, client: str, initial: Terms, now: float) -> ClientAccount:
        """Return the account; `initial` applies until terms are granted."""
        terms = self._granted.get(client, initial)
        account = self._accounts.get(client)
        if account is None:
            bucket = TokenBucket(terms.rate, terms.burst, now)
            account = ClientAccount(terms, bucket)
            self._accounts[client] = account
        elif account.terms != terms:
            account.terms = terms
            account.bucket.configure(terms.rate, terms.burst, now)
        return account

    def end_tasks(self, client: str, tasks: int) -> None:
        """Count tasks of a client as no longer running."""
        account = self._accounts.get(client)
        if account is not None:
            account.running = max(0, account.running - tasks)

    def usage(self, client: str) -> Usage:
        """Return the usage of a client since its last reset."""
        account = self._accounts.get(client)
        return account.usage if account else Usage()

    def reset_usage(self, client: str) -> None:
        """Reset the usage of a client."""
        account = self._accounts.get(client)
        if account is not None:
            account.usage = Usage()

    def clients(self) -> list[str]:
        """Return the clients with an account."""
        return list(self._accounts)
