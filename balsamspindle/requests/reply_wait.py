"""Waits for replies to one request's attempts over links."""

import math
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

import zmq

from balsamspindle.protocol.outcomes import Outcome
from balsamspindle.requests.links import Link, poll_timeout_ms
from balsamspindle.requests.retries import is_success
from balsamspindle.wire import AttemptId, Reply

__all__ = ["WaitOptions", "WaitResult", "wait_first"]

# Interval at which a waiting task checks whether its node has aborted all waits, and
# whether the time at which the node stops has been set.
CHECK_INTERVAL_MS = 100


def _never() -> bool:
    return False


def _no_end() -> float:
    return math.inf


@dataclass(frozen=True)
class WaitOptions:
    """Conditions that end a wait for replies, and callbacks for events in the wait.

    Attributes
    ----------
    deadline_s : float
        Monotonic time at which the wait ends at the latest.
    caller_fd : int
        File descriptor that is readable when the caller has sent more data or closed
        its connection.
    caller_left : callable
        Returns whether the caller closed its connection.
    on_dropped : callable
        Called each time a message is dropped because it is not a reply to the attempt.
        The argument is a text that states the fault of the message.
    is_aborted : callable, default=never
        Returns whether this node has aborted all waits for replies.
    node_ends_s : callable, default=infinity
        Returns the monotonic time at which this node stops; infinity before the time is
        set. Once set, the time is sent to the gates of the attempts. A gate then
        refuses an attempt that would end after this time.
    ends_at_notice : callable, default=never
        Called when only one attempt has no reply, and its gate has sent notice that
        the gate's node may stop before the attempt ends. Returns whether the wait then
        ends.
    parked_attempts : mapping of Link to AttemptId, default=none
        Attempts of the same request that stay open at gates of leaving nodes. The
        wait ends when a parked attempt succeeds, or when all other attempts have ended.
    on_parked : callable, default=nothing
        Called with the link and the reply when a parked attempt ends without
        success.
    """

    deadline_s: float
    caller_fd: int
    caller_left: Callable[[], bool]
    on_dropped: Callable[[str], None]
    is_aborted: Callable[[], bool] = _never
    node_ends_s: Callable[[], float] = _no_end
    ends_at_notice: Callable[[], bool] = _never
    parked_attempts: Mapping[Link, AttemptId] = field(default_factory=dict)
    on_parked: Callable[[Link, Reply], None] = lambda link, reply: None


class WaitResult(NamedTuple):
    """The reply that a wait returned, and the link over which that reply came.

    Attributes
    ----------
    replies : dict of Link to Reply
        All replies received during the wait, including `reply`.
    """

    link: Link
    reply: Reply
    replies: dict[Link, Reply]


def wait_first(
    attempts: Mapping[Link, AttemptId], wait: WaitOptions
) -> WaitResult | None:
    """Wait for the first answer to one request's attempts.

    Returns
    -------
    WaitResult or None
        The reply that ended the wait: a backend server's answer, also an error, to one
        of `attempts`, or a successful reply to a parked attempt.
        If no such reply arrived, the last reply to one of `attempts`, such as a gate's
        refusal. None if none of `attempts` got a reply.

    Without a reply that ends it, the wait ends in one of these cases:

    - The deadline passes.
    - Each of `attempts` has got a reply or lost its link.
    - The caller closes its connection.
    - This node aborts all waits.
    - A gate reports that its node may stop before the last open attempt ends, and
      `ends_at_notice` returns True.
    """
    waiting = {**wait.parked_attempts, **attempts}
    poller = zmq.Poller()
    poller.register(wait.caller_fd, zmq.POLLIN)
    for link in waiting:
        link.register(poller)
    last = None
    replies: dict[Link, Reply] = {}
    is_end_sent = False
    while waiting.keys() & attempts.keys():
        # The links are polled at least once, even after the deadline, so that a reply
        # is not lost if it arrived while this process was stalled.
        remaining_ms = poll_timeout_ms(wait.deadline_s)
        ready = dict(poller.poll(min(remaining_ms, CHECK_INTERVAL_MS)))
        for link in list(waiting):
            reply = link.receive_reply(ready, waiting[link], wait.on_dropped)
            if reply is None and not link.is_disconnected(ready):
                continue
            del waiting[link]
            link.unregister(poller)
            if reply is None:
                continue
            replies[link] = reply
            if _ends_wait(reply, link in attempts):
                return WaitResult(link, reply, replies)
            if link in attempts:
                last = WaitResult(link, reply, replies)
            else:
                wait.on_parked(link, reply)
        if wait.is_aborted() or (not ready and remaining_ms <= CHECK_INTERVAL_MS):
            return last
        if _is_last_with_notice(waiting, attempts) and wait.ends_at_notice():
            return last
        if not is_end_sent and wait.node_ends_s() < math.inf:
            is_end_sent = True
            time_to_stop_s = wait.node_ends_s() - time.monotonic()
            for link, attempt_id in waiting.items():
                link.notify_node_stop(attempt_id, time_to_stop_s)
        if wait.caller_fd in ready:
            if wait.caller_left():
                return last
            # The caller has sent its next request, which is read after this answer.
            poller.unregister(wait.caller_fd)
    return last


def _ends_wait(reply: Reply, is_waited_for: bool) -> bool:
    """Return whether a reply ends the wait; a parked attempt's error does not."""
    return is_success(reply) or (is_waited_for and reply.outcome is Outcome.ANSWERED)


def _is_last_with_notice(
    waiting: Mapping[Link, AttemptId], attempts: Mapping[Link, AttemptId]
) -> bool:
    """Return whether only one attempt is open, and its gate sent an ending notice."""
    unanswered = [link for link in waiting if link in attempts]
    return len(unanswered) == 1 and unanswered[0].has_ending_notice(
        attempts[unanswered[0]]
    )
