"""The task that spreads settings from node to node.

A node with a new revision notifies a few peers. Each of these peers pulls the
changes that it lacks, puts them in force and notifies a few peers in turn. A notice
takes tens of bytes, and each change is sent to each node once, unless a message is
lost. Every member message carries its sender's revision too, so a node that misses all
notices learns the revision from the next member message. When a pull is repeated:
`balsamspindle.settings.pulls`; when a node reads the store instead:
`balsamspindle.settings.catch_up`.
"""

import queue
import random
import time
from collections.abc import Callable
from typing import Any

from balsamspindle.settings.catch_up import CatchUpReads
from balsamspindle.settings.configuration import ApplyResult, CurrentConfiguration
from balsamspindle.settings.gossip_log import GossipLog
from balsamspindle.settings.page_download import DownloadStep, PageDownload
from balsamspindle.settings.page_sender import PageSender
from balsamspindle.settings.pulls import PullSchedule
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.settings_messages import (
    SettingsDeltas,
    SettingsNotice,
    SettingsPage,
    SettingsPagePull,
    SettingsPull,
)

__all__ = ["SettingsGossip"]

# Numbers of peers that a node notifies in its own zone and in other zones.
FANOUT_ZONE = 4
FANOUT_OTHER_ZONES = 1
NOTICE_INTERVAL_S = 0.05
# A few nodes of a large zone are reached by no notice of the first round. So each node
# repeats its notice once, to other peers of its zone, when the first round has ended.
NOTICE_REPEAT_AFTER_S = 0.5
FANOUT_REPEAT = 2
# Numbers of peers of the own zone and of other zones among which a node chooses one
# that it asks although the peer did not announce a revision.
OTHER_PEERS_ZONE, OTHER_PEERS_OTHER_ZONES = 2, 2
# Interval at which a node without settings requests offers, and the number of peers
# that it asks each time.
OFFER_REQUEST_INTERVAL_S = 0.5
OFFER_REQUEST_PEERS = 16
# Time without settings after which a node first reports that it has no source of
# settings, and the interval at which it repeats the report.
NO_SOURCE_AFTER_S = 3.0
NO_SOURCE_REPEAT_S = 10.0
INBOX_MAX = 1000
TICK_S = 0.1
IDLE_TICK_S = 0.5


class SettingsGossip:
    """Sends this node's settings to peers and pulls newer ones from them.

    Parameters
    ----------
    own : NodeRecord
    records : callable
        Returns the records of all known nodes.
    send : callable
        Sends a message to a member address; thread-safe.
    seeds : tuple of str
        Member addresses of peers that are asked for settings in addition to the
        known nodes.
    read_store : callable
        Starts a read of the store by another task. Called when peers may not deliver
        a change in time.
    store_answered_s : callable
        Returns the start of the newest read that the store answered, on the monotonic
        clock; None without one.
    """

    def __init__(
        self,
        own: NodeRecord,
        records: Callable[[], list[NodeRecord]],
        send: Callable[[str, Any], None],
        configuration: CurrentConfiguration,
        events: EventLog,
        seeds: tuple[str, ...] = (),
        read_store: Callable[[], None] = lambda: None,
        store_answered_s: Callable[[], float | None] = lambda: None,
    ) -> None:
        self._own = own
        self._records = records
        self._send = send
        self._configuration = configuration
        self._events = events
        self._seeds = seeds
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/settings")
        self._inbox: queue.Queue = queue.Queue(INBOX_MAX)
        self._stopped = False
        self._download = PageDownload()
        self._notified_revision = -1
        self._log = GossipLog(events)
        self._pulls = PullSchedule(self._random, self._other_peers)
        self._catch_up = CatchUpReads(self._random)
        self._read_store = read_store
        self._store_answered_s = store_answered_s
        self._heard_s = float("inf")
        self._next_notice_s = 0.0
        self._repeat_notice_s = float("inf")
        self._next_offer_request_s = 0.0
        self._next_no_source_report_s: float | None = None
        self._page_sender = PageSender(own.member_address, send, configuration)

    def receive(self, message: Any) -> None:
        """Enqueue a settings message for `run`; drop it if the queue is full."""
        try:
            self._inbox.put_nowait(message)
        except queue.Full:
            self._events.emit("message_dropped", cause="settings inbox is full")

    @property
    def offered_revision(self) -> int:
        """Highest revision that a peer offered; -1 before the first offer."""
        return self._download.offered_revision

    def receive_revision(self, address: str, revision: int, now_s: float) -> None:
        """Enqueue a notice if a peer's member message has a newer revision."""
        self._heard_s = now_s
        if revision > self._configuration.revision:
            self.receive(SettingsNotice(address, revision))

    def wake(self) -> None:
        """Make `run` notify peers of settings that another task put in force."""
        self.receive(None)

    def run(self) -> None:
        """Exchange settings with peers until `stop` is called."""
        while not self._stopped:
            try:
                message = self._inbox.get(timeout=self._inbox_timeout_s())
            except queue.Empty:
                message = None
            now_s = time.monotonic()
            self.handle(message, now_s)
            self.tick(now_s)

    def stop(self) -> None:
        """End `run` soon."""
        self._stopped = True
        self.wake()

    def handle(self, message: Any, now_s: float) -> None:
        """Handle one message; ignore None."""
        match message:
            case SettingsNotice():
                self._handle_notice(message, now_s)
            case SettingsPull(address, above_revision, older_revisions):
                self._answer_pull(address, (above_revision, *older_revisions))
            case SettingsDeltas(address, revision, deltas):
                self._pulls.record_answer(address)
                self._apply(address, deltas, now_s)
                self._handle_notice(SettingsNotice(address, revision), now_s)
            case SettingsPagePull(address, revision, page):
                self._page_sender.send_page(address, revision, page)
            case SettingsPage():
                self._receive_page(message, now_s)

    def tick(self, now_s: float) -> None:
        """Load the first settings; afterwards pull changes and notify peers."""
        if self._configuration.get() is None:
            self._load_initial(now_s)
            return
        if self._download.revision > self._configuration.revision:
            self._request_pages(now_s)
        self._pull(now_s)
        self._catch_up_from_store(now_s)
        self._notify_peers(now_s)

    @property
    def _address(self) -> str:
        return self._own.member_address

    def _notify_peers(self, now_s: float) -> None:
        """Notify peers of the revision in force, and once more after the first round.

        A revision that comes in force before the repetition replaces it.
        """
        revision = self._configuration.revision
        if revision > self._notified_revision and now_s >= self._next_notice_s:
            self._notified_revision = revision
            self._next_notice_s = now_s + NOTICE_INTERVAL_S
            self._repeat_notice_s = now_s + NOTICE_REPEAT_AFTER_S
            addresses = self._sample_peers(FANOUT_ZONE, FANOUT_OTHER_ZONES)
        elif now_s >= self._repeat_notice_s:
            self._repeat_notice_s = float("inf")
            addresses = self._sample_peers(FANOUT_REPEAT, 0)
        else:
            return
        for address in addresses:
            self._send(address, SettingsNotice(self._address, revision))

    def _inbox_timeout_s(self) -> float:
        has_pending_work = (
            self._configuration.get() is None
            or self._pulls.behind_since_s(self._configuration.revision) is not None
            or self._download.revision > self._configuration.revision
            or self._configuration.revision > self._notified_revision
            or self._repeat_notice_s < float("inf")
        )
        return TICK_S if has_pending_work else IDLE_TICK_S

    def _handle_notice(self, notice: SettingsNotice, now_s: float) -> None:
        if self._configuration.get() is None:
            self._download.record_offer(notice.address, notice.revision, now_s)
        elif notice.revision > self._configuration.revision:
            self._log.announced(notice, self._configuration.revision, now_s)
            self._record_offer(notice, now_s)
        else:
            # This is also the answer of a peer that was asked and has nothing newer.
            self._pulls.record_answer(notice.address)

    def _record_offer(self, notice: SettingsNotice, now_s: float) -> None:
        if notice.revision == self._download.revision:
            self._download.record_offer(notice.address, notice.revision, now_s)
        is_own_zone = self._is_in_own_zone(notice.address)
        self._pulls.record_offer(
            notice, is_own_zone, self._configuration.revision, now_s
        )

    def _is_in_own_zone(self, address: str) -> bool:
        zone = self._own.availability_zone
        return any(
            record.member_address == address and record.availability_zone == zone
            for record in self._records()
        )

    def _pull(self, now_s: float) -> None:
        """Pull newer changes, if a pull is due, from the peer that is due."""
        revision = self._configuration.revision
        for unanswered in self._pulls.pop_unanswered(now_s):
            if unanswered.revision > revision:
                self._log.unanswered(unanswered, revision, now_s)
        while (notice := self._pulls.next_pull(revision, now_s)) is not None:
            older = self._configuration.older_revisions()
            self._log.pulled(notice, revision, now_s)
            self._send(notice.address, SettingsPull(self._address, revision, older))

    def _catch_up_from_store(self, now_s: float) -> None:
        """Have the store read if peers may not deliver a change in time."""
        revision = self._configuration.revision
        behind_since_s = self._pulls.behind_since_s(revision)
        node_count = len(self._records())
        if self._catch_up.is_due(
            behind_since_s,
            self._heard_s,
            node_count,
            now_s,
            self._store_answered_s(),
        ):
            self._log.read_store(behind_since_s, self._heard_s, revision, now_s)
            self._read_store()

    def _other_peers(self) -> list[str]:
        """Return a few random peers, which may have a revision unannounced."""
        return self._sample_peers(OTHER_PEERS_ZONE, OTHER_PEERS_OTHER_ZONES)

    def _answer_pull(self, address: str, revisions: tuple[int, ...]) -> None:
        """Answer a peer that pulls changes.

        `revisions` lists the revision in force at the peer and older ones, newest
        first. This node selects the first listed revision to which one of its stored
        changes applies directly, and sends this change and the later ones. If there is
        no such revision, this node sends the first page of all settings. A peer
        without settings (revision -1) receives a notice instead of changes, and then
        requests the pages. So does a peer that lacks no change, which then asks others.
        """
        own = self._configuration.get()
        if own is None:
            return
        if revisions[0] < 0 or own.revision <= revisions[0]:
            self._send(address, SettingsNotice(self._address, own.revision))
            return
        for revision in revisions:
            deltas = self._configuration.changes_above(revision)
            if deltas:
                self._send(address, SettingsDeltas(self._address, own.revision, deltas))
                return
        self._page_sender.send_page(address, -1, 0)

    def _apply(self, address: str, deltas: list, now_s: float) -> None:
        applied = self._configuration.apply(deltas)
        if applied is ApplyResult.GAP and deltas:
            applied = self._configuration.apply_to_older(deltas)
        match applied:
            case ApplyResult.IN_FORCE:
                self._report_in_force(address, now_s, deltas[-1].accepted_ms)
            case ApplyResult.DIVERGED:
                self._log.diverged(address, deltas[-1], self._configuration.revision)
            case ApplyResult.GAP if deltas:
                self._log.not_applied(address, deltas, self._configuration.revision)

    def _report_in_force(
        self, address: str, now_s: float, accepted_ms: int | None = None
    ) -> None:
        self._next_no_source_report_s = None
        self._log.in_force(address, self._configuration.revision, now_s, accepted_ms)

    def _receive_page(self, page: SettingsPage, now_s: float) -> None:
        if page.revision <= self._configuration.revision:
            return
        self._pulls.record_page(page.address, now_s)
        if not self._download.receive(page):
            self._request_pages(now_s)
            return
        try:
            documents = self._download.pop_documents()
        except ValueError as error:
            self._log.refused(page.address, error)
            return
        applied = self._configuration.offer(page.revision, documents, page.chain)
        if applied is ApplyResult.IN_FORCE:
            self._report_in_force(page.address, now_s)

    def _load_initial(self, now_s: float) -> None:
        match self._download.next_step(now_s):
            case DownloadStep.PULL:
                self._request_pages(now_s)
            case DownloadStep.ASK if now_s >= self._next_offer_request_s:
                self._next_offer_request_s = now_s + OFFER_REQUEST_INTERVAL_S
                addresses = self._addresses()
                count = min(OFFER_REQUEST_PEERS, len(addresses))
                for address in self._random.sample(addresses, count):
                    self._send(address, SettingsPull(self._address, -1))
        self._report_no_source(now_s)

    def _request_pages(self, now_s: float) -> None:
        for address, revision, page in self._download.next_requests(now_s):
            pull = SettingsPagePull(self._address, revision, page)
            self._send(address, pull)

    def _report_no_source(self, now_s: float) -> None:
        if self._next_no_source_report_s is None:
            self._next_no_source_report_s = now_s + NO_SOURCE_AFTER_S
        if now_s >= self._next_no_source_report_s:
            self._next_no_source_report_s = now_s + NO_SOURCE_REPEAT_S
            self._log.no_source(len(self._addresses()))

    def _addresses(self) -> list[str]:
        known = {record.member_address for record in self._records()}
        return sorted({*known, *self._seeds} - {self._address})

    def _sample_peers(self, zone_count: int, other_zone_count: int) -> list[str]:
        """Return addresses of up to so many random peers in this and other zones."""
        zone_peers, other_zone_peers = [], []
        for record in self._records():
            if record.member_address == self._address:
                continue
            is_same_zone = record.availability_zone == self._own.availability_zone
            (zone_peers if is_same_zone else other_zone_peers).append(
                record.member_address
            )
        zone_count = min(zone_count, len(zone_peers))
        other_zone_count = min(other_zone_count, len(other_zone_peers))
        return self._random.sample(zone_peers, zone_count) + self._random.sample(
            other_zone_peers, other_zone_count
        )
