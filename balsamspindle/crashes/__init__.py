"""Detects requests that crash backend servers, and quarantines them.

A limit on the attempts of one request does not cover a caller's repeats of it: each
repeat has a new request id, may arrive at any node, and finds restarted backend
servers. So requests are identified by their content (`balsamspindle.requests.content`).

At a gate, `balsamspindle.backend_servers.crash_watch` detects that a backend server
ended and which requests were running there. `history.py` keeps these crashes and the
quarantines, and `verdicts.py` decides which request is the cause. `gossip.py` shares
both with the other nodes, and `quarantine_store.py` stores quarantines so that they
survive a restart of the whole fleet.
"""

from balsamspindle.crashes.history import CrashHistory
from balsamspindle.crashes.records import ContentStatus, Crash, CrashedRun, Quarantine

__all__ = [
    "Quarantine",
    "Crash",
    "CrashHistory",
    "CrashedRun",
    "ContentStatus",
]
