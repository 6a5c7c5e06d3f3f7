"""Translates the platform's settings file of a process into `NodeSettings`."""

import math
from pathlib import Path
from typing import NamedTuple

import msgspec
from expression import Error, Ok, Result

from balsamspindle.platform.headers import HEADER_NAMES, RETRY_AFTER_DECIMALS
from balsamspindle.platform.values import (
    PlatformFormatError,
    parse_bounds,
    parse_duration_ms,
)
from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.settings.process import NodeSettings, SettingsError

__all__ = ["MachineSettings", "RetryBounds", "load_machine_settings"]

# Offsets from the first port of the file's `port_range`.
MEMBER_PORT_OFFSET, ADMIN_PORT_OFFSET = 0, 1

# The platform checks readiness once per second, and directs a node's callers to other
# nodes after two failed checks. Until then, callers still send requests to the node.
READY_NOTICE_S = 2.6
# Callers on the machine have no other node, so requests wait while the node starts. It
# finds its peers within 0.5 s, and the first backend servers announce themselves within
# 1.5 s.
START_HOLD_S = 2.0
# Part of the time between SIGTERM and SIGKILL that is reserved for ending the process
# after the shutdown timeout, when the requests still in flight have been cancelled.
SHUTDOWN_RESERVE_S = 1.0
# Maximum number of callers' connections open at a time. Each uses a thread, and all
# must fit into the file descriptors and the memory of a small machine.
CONNECTIONS_MAX = 1200
# A backend server can be unable to announce itself for 10 s while requests still reach
# it. A crashed backend server is detected earlier, by its failing requests.
ANNOUNCEMENT_TTL_S = 30.0
# A customer may exceed its limit by a bounded number of requests. The nodes that grant
# the limit use up to this fraction of that number. The remainder covers nodes that
# begin to grant the limit while another node still grants it.
LIMIT_EXCESS_USED_FRACTION = 0.7
# Control traffic that a node may send to other nodes, in bytes per second: the target
# for a fleet of full size.
MEMBER_BYTES_PER_S = 9000.0


class _Listen(msgspec.Struct):
    """Addresses, as IP:port, that the process listens on.

    Attributes
    ----------
    outbound : str
        For requests of callers and of the backend server beside the node.
    inbound : str
        For attempts from other nodes.
    ready : str
        For the platform's readiness checks.
    control : str
        For announcements of the backend server beside the node.
    """

    outbound: str
    inbound: str
    ready: str
    control: str


class _Store(msgspec.Struct):
    """The metadata store; its rate and size limits apply to the whole fleet."""

    address: str


class _SettingsFile(msgspec.Struct):
    """The settings file; other fields of it are ignored.

    Attributes
    ----------
    service : str
        Service of the backend server beside this process.
    port_range : tuple of int
        First and last port for traffic between nodes.
    bounds : list of str
        Entries of the form ``name=value``.
    zones : dict of str to str
        Region of each availability zone.
    contracts : list of str
        Names of the contracts in force.
    """

    node: str
    ip: str
    zone: str
    region: str
    listen: _Listen
    port_range: tuple[int, int]
    service: str
    platform: _Store
    bounds: list[str] = []
    zones: dict[str, str] = {}
    contracts: list[str] = []


class RetryBounds(NamedTuple):
    """The retries that all nodes together may send for a service.

    Attributes
    ----------
    fraction : float
        Retries as a fraction of the service's requests.
    per_s : float
        Retries per second allowed in addition, whatever the number of requests.
    """

    fraction: float
    per_s: float


class MachineSettings(NamedTuple):
    """The translated settings file.

    Attributes
    ----------
    ready_address, announcement_address : str
        IP:port for readiness checks and for announcements of backend servers.
    grace_s : float
        Time from SIGTERM to SIGKILL.
    contracts : frozenset of str
        Names of the contracts in force.
    """

    node: NodeSettings
    ready_address: str
    announcement_address: str
    retries: RetryBounds
    grace_s: float
    contracts: frozenset[str] = frozenset()


def load_machine_settings(path: Path) -> Result[MachineSettings, SettingsError]:
    """Read and translate the settings file."""
    try:
        return Ok(_translate(decode_json(path.read_bytes(), _SettingsFile)))
    except OSError as error:
        return Error(SettingsError(f"{path}: {error.strerror}"))
    except InputError as error:
        return Error(SettingsError(f"{path}: {error}"))


def _translate(file: _SettingsFile) -> MachineSettings:
    bounds = parse_bounds(file.bounds)
    first_port = file.port_range[0]
    grace_s = parse_duration_ms(bounds.get("grace", "10s")) / 1000
    node = NodeSettings(
        node_id=file.node,
        region=file.region,
        availability_zone=file.zone,
        caller_address=file.listen.outbound,
        link_address=file.listen.inbound,
        member_address=f"{file.ip}:{first_port + MEMBER_PORT_OFFSET}",
        admin_address=f"{file.ip}:{first_port + ADMIN_PORT_OFFSET}",
        platform_address=file.platform.address,
        member_bytes_per_s=MEMBER_BYTES_PER_S,
        headers=HEADER_NAMES,
        caller_service=file.service,
        retry_after_decimals=RETRY_AFTER_DECIMALS,
        ready_notice_s=READY_NOTICE_S,
        start_wait_s=0.0,
        start_hold_s=START_HOLD_S,
        takes_unframed_answers=True,
        announcement_ttl_s=ANNOUNCEMENT_TTL_S,
        connections_max=CONNECTIONS_MAX,
        shutdown_timeout_s=grace_s - SHUTDOWN_RESERVE_S,
        key_proof_max_age_s=_key_proof_max_age_s(bounds),
        availability_zones=len(file.zones),
        limit_window_s=parse_duration_ms(bounds.get("quota_window", "0s")) / 1000,
        limit_over_part=_number_bound(bounds, "quota_over", "0")
        * LIMIT_EXCESS_USED_FRACTION,
        limit_slack=_number_bound(bounds, "quota_slack", "0")
        * LIMIT_EXCESS_USED_FRACTION,
    )
    return MachineSettings(
        node,
        file.listen.ready,
        file.listen.control,
        _retry_bounds(bounds),
        grace_s,
        frozenset(file.contracts),
    )


def _key_proof_max_age_s(bounds: dict[str, str]) -> float | None:
    """Return how long keys are accepted after the last proof that they are valid.

    In seconds; None if keys are accepted without proofs.
    """
    match bounds.get("strict_revocation", "false"):
        case "false":
            return None
        case "true":
            return parse_duration_ms(bounds.get("revoke", "5s")) / 1000
        case value:
            raise PlatformFormatError(
                f"strict_revocation={value!r}: expected true or false"
            )


def _retry_bounds(bounds: dict[str, str]) -> RetryBounds:
    window_s = parse_duration_ms(bounds.get("budget_window", "10s")) / 1000
    fraction = _number_bound(bounds, "retry_budget_ratio", "0.1")
    return RetryBounds(fraction, _number_bound(bounds, "budget_slack", "0") / window_s)


def _number_bound(bounds: dict[str, str], name: str, default: str) -> float:
    text = bounds.get(name, default)
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not 0 <= value < math.inf:
        raise PlatformFormatError(f"{name}={text!r}: expected a number of at least 0")
    return value
