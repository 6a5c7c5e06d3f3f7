"""Attempts in flight over links, including parked ones."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from balsamspindle.protocol.outcomes import CancelCause
from balsamspindle.requests.links import Link
from balsamspindle.wire import AttemptId, Dispatch, Reply

__all__ = ["ParkedAttempts", "SentAttempt"]


@dataclass(frozen=True, eq=False)
class SentAttempt:
    """An attempt in flight over a link.

    Attributes
    ----------
    gate : str
        Id of the gate's node.
    on_end : callable
        Called when the attempt ends, with its reply or, without a reply, with None.
    """

    link: Link
    dispatch: Dispatch
    gate: str
    on_end: Callable[[Reply | None], None]

    @property
    def attempt_id(self) -> AttemptId:
        """The attempt's id."""
        return self.dispatch.attempt_id

    def cancel(self, cause: CancelCause) -> None:
        """Cancel the attempt and close its link."""
        self.link.cancel(self.attempt_id, self.dispatch.hlc, cause)

    def has_ending_notice(self) -> bool:
        """Return whether the gate reported that it may stop before the attempt ends."""
        return self.link.has_ending_notice(self.attempt_id)


class ParkedAttempts:
    """One request's attempts at gates whose nodes may stop before the attempts end.

    The parked attempts stay open while the request is sent to other gates. The first
    successful answer to any of the request's attempts is used.
    """

    def __init__(self) -> None:
        self._sent: list[SentAttempt] = []

    def __bool__(self) -> bool:
        return bool(self._sent)

    def add(self, sent: SentAttempt) -> None:
        """Park an attempt."""
        self._sent.append(sent)

    def all(self) -> list[SentAttempt]:
        """Return a copy of the list of parked attempts."""
        return list(self._sent)

    def by_link(self) -> dict[Link, AttemptId]:
        """Return the ids of the parked attempts, with their links as keys."""
        return {sent.link: sent.attempt_id for sent in self._sent}

    def finish(
        self, replies: Mapping[Link, Reply], release: Callable[[Link], None]
    ) -> None:
        """Remove and end the attempts that got replies, and release their links."""
        for sent in self.all():
            if sent.link in replies:
                self._sent.remove(sent)
                sent.on_end(replies[sent.link])
                release(sent.link)

    def cancel(self, cause: CancelCause) -> None:
        """Cancel all parked attempts and close their links."""
        for sent in self._sent:
            sent.on_end(None)
            sent.cancel(cause)
        self._sent.clear()
