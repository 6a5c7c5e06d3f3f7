"""Executor tasks whose exceptions are written to the event log."""

import traceback
from collections.abc import Callable
from concurrent.futures import Executor, Future
from typing import Any

from balsamspindle.timeline.events import EventLog

__all__ = ["submit_logged"]


def submit_logged(
    executor: Executor, events: EventLog, task: Callable, *args: Any
) -> Future:
    """Submit a task and emit the event `task_failed` if it raises.

    An executor only stores the exception in the future. Without the event, a failure
    would go unnoticed if no code reads the future: a caller's connection would close
    and the log would not say why.
    """
    future = executor.submit(task, *args)
    future.add_done_callback(lambda done: _emit_failure(done, events))
    return future


def _emit_failure(future: Future, events: EventLog) -> None:
    if future.cancelled():
        return
    error = future.exception()
    if error is None:
        return
    frames = traceback.extract_tb(error.__traceback__)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else None
    events.emit("task_failed", cause=repr(error), place=place)
