"""The member task: tells peers what this node knows, and hears them."""

import random
import threading
import time
from collections.abc import Callable

import msgspec
import zmq
from expression import Result

from balsamspindle.membership.directory import Directory, NodeState
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.tree import CurrentConfiguration
from balsamspindle.timeline import EventLog
from balsamspindle.wire import (
    BackendServerRecord,
    Hello,
    NodeRecord,
    SettingsRequest,
    SettingsSnapshot,
    decode_member,
    encode,
)

__all__ = ["Member"]

HELLO_INTERVAL_S = 0.5
HELLO_PEERS = 3
SILENCE_TIMEOUT_S = 3.0


class Member:
    """One node's part in the membership protocol.

    Parameters
    ----------
    own : NodeRecord
        This node's first record.
    backend_servers : callable
        Returns the records of this node's backend servers.
    """

    def __init__(
        self,
        context: zmq.Context,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        configuration: CurrentConfiguration,
        backend_servers: Callable[[], tuple[BackendServerRecord, ...]],
        events: EventLog,
    ) -> None:
        self._context = context
        self._settings = settings
        self._directory = directory
        self._configuration = configuration
        self._backend_servers = backend_servers
        self._events = events
        self._random = random.Random(f"{own.node_id}/{own.incarnation}")
        self._stopped = threading.Event()
        self._peers: dict[str, zmq.Socket] = {}
        self._record = own
        self._router = context.socket(zmq.ROUTER)
        self._router.setsockopt(zmq.LINGER, 0)
        self._router.bind(f"tcp://{settings.member_address}")

    def run(self) -> None:
        """Take part until `stop` is called."""
        next_hello_s = time.monotonic()
        while not self._stopped.is_set():
            now_s = time.monotonic()
            if now_s >= next_hello_s:
                self._round(now_s)
                next_hello_s = now_s + HELLO_INTERVAL_S
            wait_ms = max(1, int((next_hello_s - time.monotonic()) * 1000))
            if self._router.poll(wait_ms):
                self._take(self._router.recv_multipart(), time.monotonic())
        for socket in self._peers.values():
            socket.close()
        self._router.close()

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped.set()

    def leave(self) -> None:
        """Tell the peers that this node is going."""
        self._record = msgspec.structs.replace(
            self._record,
            version=self._record.version + 1,
            state=NodeState.LEAVING.value,
        )

    def _round(self, now_s: float) -> None:
        self.refresh(now_s)
        for node_id in self._directory.remove_silent(
            self._record.node_id, SILENCE_TIMEOUT_S, now_s
        ):
            self._events.emit("node_silent", peer=node_id)
        hello = Hello(
            self._record,
            self._directory.records(),
            self._configuration.revision,
            self._events.clock.tick(time.time()),
        )
        addresses = self._peer_addresses()
        chosen = self._random.sample(addresses, min(HELLO_PEERS, len(addresses)))
        for address in chosen:
            self._send(address, hello)

    def refresh(self, now_s: float) -> None:
        """Bring this node's own record up to date."""
        servers = self._backend_servers()
        if servers != self._record.backend_servers:
            self._record = msgspec.structs.replace(
                self._record,
                version=self._record.version + 1,
                backend_servers=servers,
            )
        self._directory.update(self._record, now_s)
        self._directory.heard(self._record.node_id, now_s)

    def _peer_addresses(self) -> list[str]:
        known = {record.member_address for record in self._directory.records()}
        known.update(self._settings.seed_addresses)
        known.discard(self._record.member_address)
        return sorted(known)

    def _take(self, frames: list[bytes], now_s: float) -> None:
        match decode_member(frames[-1]):
            case Result(tag="ok", ok=message):
                self._events.clock.observe(message.hlc, time.time())
                self._handle(frames[0], message, now_s)
            case Result(error=error):
                self._events.emit("message_dropped", cause=error.message)

    def _handle(self, routing_id: bytes, message, now_s: float) -> None:
        match message:
            case Hello(sender, records, settings_revision):
                for record in (sender, *records):
                    if record.node_id != self._record.node_id:
                        self._learn(record, now_s)
                self._directory.heard(sender.node_id, now_s)
                if settings_revision > self._configuration.revision:
                    self._send(
                        sender.member_address,
                        SettingsRequest(self._configuration.revision),
                    )
                    self._events.emit("settings_requested", peer=sender.node_id)
            case SettingsRequest(above_revision):
                self._answer_request(routing_id, above_revision)
            case SettingsSnapshot(revision, documents):
                self._offer(revision, documents)

    def _learn(self, record: NodeRecord, now_s: float) -> None:
        if self._directory.update(record, now_s):
            self._events.emit(
                "node_learned",
                peer=record.node_id,
                peer_incarnation=record.incarnation,
                version=record.version,
                state=record.state,
            )

    def _answer_request(self, routing_id: bytes, above_revision: int) -> None:
        configuration = self._configuration.get()
        if configuration is None or configuration.revision <= above_revision:
            return
        snapshot = SettingsSnapshot(configuration.revision, configuration.documents)
        self._router.send_multipart([routing_id, encode(snapshot)])

    def _offer(self, revision: int, documents: dict[str, bytes]) -> None:
        match self._configuration.offer(revision, documents):
            case Result(tag="ok", ok=True):
                self._events.emit("settings_in_force", revision=revision, source="peer")
            case Result(tag="error", error=faults):
                self._events.emit(
                    "settings_refused", revision=revision, cause=faults[0].message
                )

    def _send(self, address: str, message) -> None:
        socket = self._peers.get(address)
        if socket is None:
            socket = self._context.socket(zmq.DEALER)
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, 10)
            socket.connect(f"tcp://{address}")
            self._peers[address] = socket
        try:
            socket.send(encode(message), zmq.NOBLOCK)
        except zmq.Again:
            self._events.emit("message_not_sent", address=address)
        # Answers to earlier questions come back on the same socket.
        while socket.poll(0):
            self._take([b"", socket.recv()], time.monotonic())
