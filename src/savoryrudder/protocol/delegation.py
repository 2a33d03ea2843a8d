"""Define the messages with which an entry hands jobs to another entry."""

from __future__ import annotations

from typing import NamedTuple

from savoryrudder.jobs.model import JobRequest


class EntryLoad(NamedTuple):
    """Tell another entry how much work the sender can take.

    `free_cpu` holds the free millicores by service, as far as the sender knows.
    `busy_share` is the share of time in which its event loop does not wait, and
    `version` that of the configuration in force.
    """

    free_cpu: dict[str, int]
    busy_share: float
    accepting: bool
    version: int


class DelegateJob(NamedTuple):
    """Ask another entry to run a job whose caller waits at the sender.

    `number` differs for each delegation of an incarnation of the sender; it is
    0 if the sender does not number them.
    """

    host: str
    path: str
    job: JobRequest
    caller_timeout_s: float | None
    number: int = 0


class DelegatedAnswer(NamedTuple):
    """Answer a delegated job; `number` is that of the delegation."""

    job: str
    verdict: str
    reason: str
    retry_after_s: float
    number: int = 0


class WithdrawJob(NamedTuple):
    """Tell the entry that runs a delegated job that no caller waits for it."""

    job: str
