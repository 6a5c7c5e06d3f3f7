"""The parts of a node that keep something in the platform's store."""

from collections.abc import Callable

from balsamspindle.backend_servers.ledger import HeldKey
from balsamspindle.crashes import CrashHistory
from balsamspindle.crashes.quarantine_store import QuarantineStore
from balsamspindle.crashes.records import CrashUpdate
from balsamspindle.membership import Directory, Member
from balsamspindle.membership.registry import Registry
from balsamspindle.node.store_eras import NodeEras
from balsamspindle.platform import HttpTableService
from balsamspindle.requests.claim_eras import ClaimEras, ClaimHolder
from balsamspindle.requests.claim_restorer import ClaimRestorer
from balsamspindle.requests.claims import ClaimsTable
from balsamspindle.settings.process import NodeSettings
from balsamspindle.tables import GuardedTableService, PlatformGuard
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["StoreParts"]


class StoreParts:
    """Makes these parts; none where the node uses no platform.

    Attributes
    ----------
    guards : list of PlatformGuard
        Of the calls that they make to the platform.
    """

    def __init__(
        self,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        events: EventLog,
        eras: NodeEras,
    ) -> None:
        self._address = settings.platform_address
        self._own = own
        self._directory = directory
        self._events = events
        self._eras = eras
        self._claim_eras = ClaimEras(settings.key_resend_max_s, eras.want_claims)
        self.guards: list[PlatformGuard] = []

    def claims_table(self) -> ClaimsTable:
        """Return where keys of requests are claimed."""
        if self._address is None:
            return ClaimsTable(None)
        tables = HttpTableService(self._address, self._eras.known)
        return ClaimsTable(tables, self._claim_eras)

    def claim_restorer(
        self,
        claims: ClaimsTable,
        begin_era: Callable[[int, float, float], list[HeldKey]],
        is_isolated: Callable[[], bool],
    ) -> ClaimRestorer | None:
        """Return what writes claims again that the store has lost.

        Parameters
        ----------
        begin_era : callable
            See `Gate.begin_claim_era`.
        is_isolated : callable
            Tells whether no peer answers this node.
        """
        if self._address is None:
            return None
        restorer = ClaimRestorer(
            self._guarded("claims"),
            ClaimHolder(self._own.node_id, self._own.incarnation),
            self._claim_eras,
            begin_era,
            claims.take_written_claims,
            self._fleet,
            is_isolated,
            self._events,
        )
        self._eras.on_new(restorer.wake)
        self._eras.on_wanted(restorer.request_era)
        return restorer

    def _fleet(self) -> list[ClaimHolder]:
        return [
            ClaimHolder(node.node_id, node.incarnation)
            for node in self._directory.alive()
        ]

    def registry(self, member: Member) -> Registry | None:
        """Return by what nodes find one another."""
        if self._address is None:
            return None
        return Registry(
            self._guarded("registry"),
            self._own,
            self._directory,
            member.set_contacts,
            lambda: member.isolated,
            self._events,
        )

    def quarantine_store(
        self, crash_history: CrashHistory, tell: Callable[[CrashUpdate, float], None]
    ) -> QuarantineStore | None:
        """Return what keeps quarantines over restarts."""
        if self._address is None:
            return None
        return QuarantineStore(
            self._guarded("quarantines"),
            self._own,
            self._directory,
            crash_history,
            self._events,
            tell,
        )

    def _guarded(self, user: str) -> GuardedTableService:
        guard = PlatformGuard(f"{self._own.node_id}/{self._own.incarnation}/{user}")
        self.guards.append(guard)
        tables = HttpTableService(self._address, self._eras.known)
        return GuardedTableService(tables, guard)
