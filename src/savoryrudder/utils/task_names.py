"""Name the tasks of a job that a log line is about."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

# Keeps a line within the length limit of the log.
_MAX_NAMED_TASKS: Final = 200


def describe_tasks(tasks: Sequence[str]) -> dict[str, str]:
    """Return the fields of a log line that name one or more tasks of a job.

    Of several tasks, the first ones are named by what follows the job.
    """
    if len(tasks) == 1:
        return {'task': tasks[0]}
    job = tasks[0].partition('.')[0]
    named = (task.partition('.')[2] for task in tasks[:_MAX_NAMED_TASKS])
    return {'job': job, 'count': str(len(tasks)), 'tasks': ' '.join(named)}
