"""Which backend servers send bytes that belong to no request, such as second answers.

A request on a kept connection that contains such bytes gets no answer. It can be sent
again only within the retry budget, so a backend server that often sends such bytes gets
a new connection for each request for some time. New connections cost it time, so a
single second answer is no reason for them.
"""

from collections import OrderedDict

__all__ = ["NEW_CONNECTIONS_S", "StrayAnswers"]

# Weight that a request on a kept connection takes from the earlier ones.
DECAY = 0.9
# Stray answers among the recent requests, with these weights, from which on connections
# are not kept. It is reached if about a fifth of the requests meet a stray answer.
STRAYS_MAX = 2.0
# How long connections are not kept. On new connections, second answers stay unseen.
NEW_CONNECTIONS_S = 30.0
ADDRESSES_MAX = 1_000


class StrayAnswers:
    """Recent stray answers by address. Not thread-safe."""

    def __init__(self) -> None:
        self._strays: OrderedDict[str, float] = OrderedDict()
        self._until_s: OrderedDict[str, float] = OrderedDict()

    def record(self, address: str, is_stray: bool, now_s: float) -> None:
        """Record a request on a kept connection, and whether it met a stray answer."""
        if not is_stray and address not in self._strays:
            return
        strays = self._strays.get(address, 0.0) * DECAY + is_stray
        _store(self._strays, address, strays)
        if is_stray and strays >= STRAYS_MAX:
            _store(self._until_s, address, now_s + NEW_CONNECTIONS_S)

    def may_keep(self, address: str, now_s: float) -> bool:
        """Return whether connections to an address may be kept and used again."""
        return now_s >= self._until_s.get(address, now_s)


def _store(table: OrderedDict[str, float], address: str, value: float) -> None:
    table[address] = value
    table.move_to_end(address)
    if len(table) > ADDRESSES_MAX:
        table.popitem(last=False)
