"""The faults of the stand-in for the metadata store."""

import random
from collections.abc import Iterable
from enum import StrEnum

import msgspec

__all__ = ["FaultMode", "FaultSwitch", "decode_faults", "take_fault"]


class FaultMode(StrEnum):
    """How the stand-in misbehaves."""

    NONE = "none"
    DOWN = "down"
    BUSY = "busy"
    REFUSE = "refuse"
    SLOW = "slow"
    STALL = "stall"
    LOST_REPLY = "lost_reply"
    LATE = "late"


class FaultSwitch(msgspec.Struct):
    """One fault.

    Attributes
    ----------
    mode : FaultMode
        ``down`` answers 503, ``busy`` 429, ``refuse`` closes the connection
        without an effect, ``slow`` takes effect after a delay, ``stall`` does
        so although the caller has long given up, ``lost_reply`` takes effect
        and closes the connection, ``late`` closes the connection and takes
        effect after a delay.
    count : int or None
        Calls that meet it; None until the faults are changed.
    delay_s : float
        Delay of ``slow``, ``stall`` and ``late``.
    endpoint : str or None
        ``read``, ``scan`` (a read without a range), ``transact``, ``feed``,
        ``parts`` or ``object``; None for all.
    probability : float
        Part of the calls that meet it.
    caller_ip : str or None
        Only calls from this address meet it: the store turns one machine away.
    """

    mode: FaultMode = FaultMode.NONE
    count: int | None = None
    delay_s: float = 1.0
    endpoint: str | None = None
    probability: float = 1.0
    caller_ip: str | None = None


def decode_faults(body: bytes) -> list[FaultSwitch]:
    """Return the faults of a JSON body: one, or a list of them.

    Raises
    ------
    msgspec.MsgspecError
    """
    faults = msgspec.json.decode(body, type=FaultSwitch | list[FaultSwitch])
    return faults if isinstance(faults, list) else [faults]


def take_fault(
    switches: Iterable[FaultSwitch],
    endpoint: str,
    caller_ip: str | None,
    rng: random.Random,
) -> FaultSwitch:
    """Return the first fault that a call meets; one that does nothing for none."""
    for fault in switches:
        if fault.endpoint not in (None, endpoint) or fault.count == 0:
            continue
        if fault.caller_ip not in (None, caller_ip):
            continue
        if rng.random() >= fault.probability:
            continue
        if fault.count is not None:
            fault.count -= 1
        return fault
    return FaultSwitch()
