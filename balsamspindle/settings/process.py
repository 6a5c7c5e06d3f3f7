"""Settings of one node process: its names, addresses, limits and time-outs.

A node process reads them from a local JSON file when it starts. Services, routes,
customers and callers' limits come from the fleet's settings instead (see
`balsamspindle.settings.documents`).
"""

from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from balsamspindle.protocol.decoding import InputError, decode_json
from balsamspindle.protocol.header_names import DEFAULT_HEADER_NAMES, HeaderNames
from balsamspindle.settings.validation import struct_faults
from balsamspindle.wire import LINK_LEVEL, NodeRecord
from balsamspindle.wire.security import FleetKeys

__all__ = [
    "KEY_RESEND_MAX_S",
    "Address",
    "NodeSettings",
    "SettingsError",
    "load_node_settings",
]

NODE_ALIVE = "alive"
# Default of `key_resend_max_s`; equal to the time for which a gate retains the
# idempotency keys of requests.
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
    """Why settings can't be used; `message` has a line for each fault."""

    message: str


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node process.

    Attributes
    ----------
    caller_address : str
        Where this node accepts callers' HTTP connections, as IP:port.
    link_address : str
        Where other nodes send attempts.
    member_address : str
        Where other nodes send membership and control messages.
    admin_address : str
        Where backend servers announce themselves and where operators read status
        and metrics. Keep it on loopback or behind the VM's firewall.
    link_advertised_address, member_advertised_address : str, optional
        Addresses that other nodes connect to, if different from the addresses on
        which this process listens.
    admin_advertised_address : str, optional
        Where operators on other VMs reach the admin address. If it is not set,
        operators have to enter the node's address themselves.
    platform_address : str
        Address of the platform's table service and object store.
    seed_addresses : tuple of str
        Member addresses of the first peers to contact if the platform is
        down when the node starts.
    member_bytes_per_s : float
        Maximum rate of control traffic from this node to its peers.
    fleet_keys : FleetKeys, optional
        Keys by which nodes authenticate each other. Without keys, any machine that
        reaches the member and link addresses is trusted as a node. Set them on all
        nodes of a fleet or on none.
    wall_clock_offset_s : float
        Seconds added to the wall-clock time of events, with which tests simulate
        a wrong clock.
    headers : HeaderNames
        Names of the headers that the fleet reads from and adds to requests
        and answers.
    caller_service : str
        Name of the service that runs beside this node and calls other services
        through it. The name is sent to backend servers with the requests that this
        node accepted. If it is empty, no name is sent.
    start_wait_s : float
        Maximum time for which a starting node refuses connections because it does
        not know yet where to send requests. Suits callers that can use other nodes.
    start_hold_s : float
        Maximum time for which a request waits while the node does not know settings
        and backend servers yet, counted from the node's start. After this time, the
        node no longer waits, and refuses a request that it can't send to a backend
        server. Suits callers that have no other node.
    retry_after_decimals : int
        Decimals of the seconds in Retry-After. The HTTP standard allows whole
        seconds only.
    takes_unframed_answers : bool
        Whether a backend server's answer without a length counts as complete
        when the connection is closed without an error. Leave it off if backend
        servers that crash during an answer also close their connections this way.
    announcement_ttl_s : float
        How long a backend server counts as alive after its last announcement.
    ready_notice_s : float
        How long a node that shuts down still accepts requests. In this time its
        callers can find out that it shuts down, and use another node.
    availability_zones : int
        Number of zones in the whole fleet; if 0, the zones of known nodes are
        counted. A fraction of each customer's limit is divided equally among them.
    limit_window_s : float
        Within any time span of this length, a customer may run as many requests
        as its rate allows in that time, plus its burst. With 0, the burst may be
        used once and is then refilled at the customer's rate.
    limit_over_part : float
        Number of requests by which a customer may exceed its limit within
        `limit_window_s`, as a fraction of the number that the limit allows in this
        time. The additional requests may all run at one moment. The setting has no
        effect if `limit_window_s` is 0.
    limit_slack : float
        Number of additional requests by which a customer may exceed its limit,
        over all nodes together. Without them, each node's fraction of a small burst
        may be too small for a single request.
    key_proof_max_age_s : float or None
        How long customers' keys are accepted after the last proof that they
        are valid; None accepts them without proofs.
    key_resend_max_s : float
        How long a caller may send a request again with the same Idempotency-Key,
        counted from the first time that it sent the request. The same time applies
        after the store was restored from an older copy. Each node then writes the
        claims that it knows to the store again. If a node ended before it did so, the
        claims of some keys may be lost. A request whose key has no claim could then
        have run before the restore. So for this time after the restore, the fleet does
        not run such requests. After this time, no caller resends such a key.
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
        """Return the first membership record of this node for an incarnation."""
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
            link_level=LINK_LEVEL,
        )


def load_node_settings(path: Path) -> Result[NodeSettings, SettingsError]:
    """Read and check a node's settings file; the error lists all its faults."""
    try:
        document = path.read_bytes()
    except OSError as error:
        return Error(SettingsError(f"{path}: {error.strerror}"))
    try:
        return Ok(decode_json(document, NodeSettings))
    except InputError as error:
        faults = struct_faults(str(path), document, NodeSettings)
        described = "\n".join(map(str, faults)) or f"{path}: {error}"
        return Error(SettingsError(described))
