"""Listens for replies to parked attempts while another attempt is made."""

import socket
import threading
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from balsamspindle.wire import Reply

__all__ = ["ParkedResult", "listening"]


class ParkedResult:
    """A parked attempt's successful reply; `answer` is None until one arrives."""

    def __init__(self) -> None:
        self.answer: Reply | None = None


@contextmanager
def listening(listen: Callable[[int], None]) -> Iterator[None]:
    """Run `listen` in a thread of its own until the end of the context.

    Parameters
    ----------
    listen : callable
        Gets a file descriptor, which becomes readable when `listen` has to end.
    """
    listener_end, own_end = socket.socketpair()
    listener = threading.Thread(
        target=listen, args=(listener_end.fileno(),), name="left-open", daemon=True
    )
    with listener_end:
        listener.start()
        try:
            yield
        finally:
            own_end.close()
            listener.join()
