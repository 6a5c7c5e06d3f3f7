"""Tasks whose failures are told."""

import traceback
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from balsamspindle.timeline.events import EventLog

__all__ = ["submit_logged"]


def submit_logged(
    executor: Executor, events: EventLog, task: Callable, *args: Any
) -> Future:
    """Submit a task and write an event when it raises.

    An executor keeps the exception in the future. Where nobody asks the
    future, a fault would end the task in silence: a connection that closes
    for no reason that the log tells.
    """
    future = executor.submit(task, *args)
    future.add_done_callback(lambda done: _tell_failure(done, events))
    return future


def _tell_failure(future: Future, events: EventLog) -> None:
    if future.cancelled():
        return
    error = future.exception()
    if error is None:
        return
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else None
    events.emit("task_failed", cause=repr(error), place=place)
