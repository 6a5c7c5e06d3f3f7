"""What one node process is told at its start: its names and addresses.

These settings are a JSON file beside the process. All else comes from the
fleet's settings (see `balsamspindle.settings.documents`).
"""

from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.settings.validation import struct_faults
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.security import FleetKeys

__all__ = [
    "KEY_RESEND_MAX_S",
    "Address",
    "NodeSettings",
    "SettingsError",
    "load_node_settings",
]

NODE_ALIVE = "alive"
# As long as a gate remembers keys.
KEY_RESEND_MAX_S = 1800.0

Address = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}\Z",
        max_length=21,
        extra_json_schema={"description": "IP:port, such as 10.0.0.7:8080"},
    ),
]
Positive = Annotated[float, msgspec.Meta(gt=0)]
Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[a-z0-9][a-z0-9.-]*\Z",
        max_length=64,
        extra_json_schema={"description": "a name of a-z, 0-9, '.' and '-'"},
    ),
]


class SettingsError(msgspec.Struct, frozen=True):
    """Settings that can't be used; `message` says where and what to do."""

    message: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes
    ----------
    caller_address : str
        Where callers' HTTP comes in, as IP:port.
    link_address : str
        Where other nodes send attempts.
    member_address : str
        Where other nodes send what they know.
    admin_address : str
        Announcements of backend servers, status and metrics; keep it on
        loopback or behind the VM's firewall.
    link_advertised_address, member_advertised_address : str, optional
        What other nodes are told, where it differs from the address that
        this process listens on.
    admin_advertised_address : str, optional
        Where operators reach the admin address from other VMs; without it
        they have to name the node's address themselves.
    platform_address : str
        The platform's table service and object store.
    seed_addresses : tuple of str
        Member addresses of first peers, for a start with the platform down.
    member_bytes_per_s : float
        Cap on what this node sends to peers for control.
    fleet_keys : FleetKeys, optional
        Without them any machine that reaches the member and link addresses
        is trusted as a node. All nodes of a fleet have them, or none.
    wall_clock_offset_s : float
        Sets the wall clock of the events wrong, for tests.
    headers : HeaderNames
        How callers and backend servers name what the fleet reads and sets.
    caller_service : str
        The service beside this node, as backend servers are told of the
        requests that came in here; nothing is told when empty.
    start_wait_s : float
        How long a node that starts refuses connections while it does not know
        where to send requests: for callers who have other nodes to turn to.
    start_hold_s : float
        How long after its start requests wait for settings and backend
        servers to be known: for callers who have no other node.
    retry_after_decimals : int
        Of the seconds in Retry-After; the standard knows whole ones only.
    takes_unframed_answers : bool
        Whether a backend server's answer without a length is whole when its
        connection ends in order. Not so where backend servers that die half
        way end it just the same.
    announcement_ttl_s : float
        How long a backend server is believed to live without announcing.
    ready_notice_s : float
        How long a node that leaves still takes requests, so that whoever
        sends them to it has heard.
    availability_zones : int
        Of the whole fleet; 0 counts those that are known. Each grants its part of
        customers' limits.
    limit_window_s : float
        In any window of this length a customer may run its rate's requests and its
        burst; 0 where the burst comes once, and again as the rate fills it.
    limit_over_part : float
        Part of that by which a customer may be over, at one moment.
    limit_slack : float
        Requests by which it may be over besides, over all nodes; small bursts fall
        into parts too small to serve anybody without it.
    key_proof_max_age_s : float or None
        For how long keys of customers are served after a proof that they are
        valid; None where they are served without one.
    key_resend_max_s : float
        How long after its first send a caller may send a request with the same
        Idempotency-Key again. So long no new key is run where the store came back
        from an older copy and a node had ended before it wrote its claims again.
    """

    node_id: Name
    region: Name
    availability_zone: Name
    caller_address: Address
    link_address: Address
    member_address: Address
    admin_address: Address
    link_advertised_address: Address | None = None
    member_advertised_address: Address | None = None
    admin_advertised_address: Address | None = None
    platform_address: Address | None = None
    seed_addresses: tuple[Address, ...] = ()
    member_bytes_per_s: Annotated[float, msgspec.Meta(ge=1000)] = 9000.0
    fleet_keys: FleetKeys | None = None
    wall_clock_offset_s: float = 0.0
    headers: HeaderNames = DEFAULT_HEADER_NAMES
    caller_service: str = ""
    start_wait_s: Annotated[float, msgspec.Meta(ge=0)] = 2.0
    start_hold_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    retry_after_decimals: Annotated[int, msgspec.Meta(ge=0, le=3)] = 0
    takes_unframed_answers: bool = False
    announcement_ttl_s: Positive = 5.0
    ready_notice_s: Annotated[float, msgspec.Meta(ge=0)] = 1.0
    availability_zones: Annotated[int, msgspec.Meta(ge=0)] = 0
    limit_window_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    limit_over_part: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    limit_slack: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    key_proof_max_age_s: Positive | None = None
    key_resend_max_s: Positive = KEY_RESEND_MAX_S
    connections_max: int = 400
    connection_idle_timeout_s: float = 60.0
    request_head_timeout_s: float = 10.0
    request_body_timeout_s: float = 60.0
    request_body_max_bytes: int = 8 * 1024 * 1024
    answer_body_max_bytes: int = 8 * 1024 * 1024
    shutdown_timeout_s: float = 30.0

    def own_record(self, incarnation: int) -> NodeRecord:
        """Return this node's first record of an incarnation."""
        return NodeRecord(
            self.node_id,
            incarnation,
            0,
            self.region,
            self.availability_zone,
            self.link_advertised_address or self.link_address,
            self.member_advertised_address or self.member_address,
            NODE_ALIVE,
            admin_address=self.admin_advertised_address or "",
        )


def load_node_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Read and check the JSON file of a node process; list all its faults."""
    try:
        document = path.read_bytes()
    except OSError as error:
        return Error(SettingsError(f"{path}: {error.strerror}"))
    try:
        return Ok(msgspec.json.decode(document, type=NodeSettings))
    except msgspec.MsgspecError:
        faults = struct_faults(str(path), document, NodeSettings)
        return Error(SettingsError("\n".join(map(str, faults))))
