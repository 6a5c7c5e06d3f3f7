"""Detects requests that crash backend servers, and quarantines them.

A quarantined request is blocked: for a time it is sent to no backend server. A limit on
the attempts of one request would not be enough, since a caller may repeat the request:
each repeat has a new request id, may arrive at any node, and may crash the restarted
backend servers again. So a request and its repeats are identified by their content
hash (`balsamspindle.requests.content`), which is the same for all of them.

At a gate, `balsamspindle.backend_servers.crash_watch` detects that a backend server
ended and which requests were running there. `history.py` stores crashes and quarantines
in memory, and `verdicts.py` decides which request caused the crashes. `gossip.py`
shares crashes and quarantines with the other nodes, and `quarantine_store.py` writes
quarantines to the platform so that they survive a restart of the whole fleet.
"""

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import (
    Crash,
    CrashedRun,
    Quarantine,
    QuarantineStatus,
)

__all__ = [
    "Quarantine",
    "Crash",
    "CrashHistory",
    "CrashedRun",
    "QuarantineStatus",
]
