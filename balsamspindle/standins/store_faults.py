"""The faults of the stand-in for the metadata store."""

import random
from collections.abc import Iterable
from enum import StrEnum

import msgspec

from balsamspindle.protocol.decoding import decode_json

__all__ = ["FaultMode", "FaultSwitch", "decode_faults", "select_fault"]


class FaultMode(StrEnum):
    """How calls fail; see `FaultSwitch`."""

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
        ``down`` answers 503 and ``busy`` 429. ``refuse`` closes the connection
        without executing the call. ``slow`` and ``stall`` execute the call after a
        delay; ``stall`` is meant for delays longer than the caller's timeout.
        ``lost_reply`` executes the call and loses the answer: the connection stays open
        and delivers nothing further. It affects the answers that are due while the
        fault is in force, also those to calls that began before.
        ``late`` closes the connection and executes the call after a delay.
    count : int or None
        Number of remaining calls that the fault affects; None for no limit.
    delay_s : float
        Delay of ``slow``, ``stall`` and ``late``.
    endpoint : str or None
        ``read``, ``scan`` (a read without a range), ``transact``, ``feed``,
        ``parts`` or ``object``; None for all.
    probability : float
        Probability that the fault affects a call.
    caller_ip : str or None
        The fault affects only calls from this address, as if the store failed for one
        machine only; None for all.
    """

    mode: FaultMode = FaultMode.NONE
    count: int | None = None
    delay_s: float = 1.0
    endpoint: str | None = None
    probability: float = 1.0
    caller_ip: str | None = None


def decode_faults(body: bytes) -> list[FaultSwitch]:
    """Decode a JSON body that contains one fault or a list of faults.

    Raises
    ------
    InputError
        If the body is neither.
    """
    faults = decode_json(body, FaultSwitch | list[FaultSwitch])
    return faults if isinstance(faults, list) else [faults]


def select_fault(
    switches: Iterable[FaultSwitch],
    endpoint: str,
    caller_ip: str | None,
    rng: random.Random,
    is_answered: bool = False,
) -> FaultSwitch:
    """Return the first fault that applies to a call, and decrement its `count`.

    If no fault applies, return a fault of mode `NONE`.

    Parameters
    ----------
    is_answered : bool, default=False
        Whether the call was executed and its answer is due. Only ``lost_reply`` affects
        an answer, and all other modes affect the call.
    """
    for fault in switches:
        if is_answered is not (fault.mode is FaultMode.LOST_REPLY):
            continue
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
