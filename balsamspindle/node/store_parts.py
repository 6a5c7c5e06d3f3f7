"""Creates the parts of a node that keep data in the platform's store."""

from collections.abc import Callable

from balsamspindle.backend_servers.ledger import ClaimedKey
from balsamspindle.crashes import CrashHistory
from balsamspindle.crashes.quarantine_store import QuarantineStore
from balsamspindle.crashes.records import CrashUpdate
from balsamspindle.membership import Directory, Member
from balsamspindle.membership.registry import Registry
from balsamspindle.node.store_eras import NodeEras
from balsamspindle.platform.store import HttpTableService
from balsamspindle.requests.claim_eras import ClaimEras, ClaimHolder
from balsamspindle.requests.claim_restorer import ClaimRestorer
from balsamspindle.requests.claims import ClaimsTable
from balsamspindle.settings.process import NodeSettings
from balsamspindle.tables import GuardedTableService, PlatformGuard
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["StoreParts"]


class StoreParts:
    """Creates the parts of a node that use the store; most are None without a platform.

    Attributes
    ----------
    guards : list of PlatformGuard
        Guards of the parts' calls to the platform. Calls of the claims table are not
        guarded.
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
        self._claim_eras = ClaimEras(settings.key_resend_max_s, eras.request_claims)
        self.guards: list[PlatformGuard] = []

    def tables(self, purpose: str) -> GuardedTableService | None:
        """Return the store's tables for one part; None without a platform."""
        return None if self._address is None else self._guarded_tables(purpose)

    def claims_table(self) -> ClaimsTable:
        """Create the table in which idempotency keys are claimed.

        Without a platform, the table has no store.
        """
        if self._address is None:
            return ClaimsTable(None)
        tables = HttpTableService(self._address, self._eras.known)
        return ClaimsTable(tables, self._claim_eras, events=self._events)

    def claim_restorer(
        self,
        claims: ClaimsTable,
        begin_era: Callable[[int, float, float], list[ClaimedKey]],
        is_isolated: Callable[[], bool],
    ) -> ClaimRestorer | None:
        """Create the part that writes claims again after the store has lost them.

        Parameters
        ----------
        begin_era : callable
            See `Gate.begin_claim_era`.
        is_isolated : callable
            Returns whether no peer answers this node.
        """
        if self._address is None:
            return None
        restorer = ClaimRestorer(
            self._guarded_tables("claims"),
            ClaimHolder(self._own.node_id, self._own.incarnation),
            self._claim_eras,
            begin_era,
            claims.take_written_claims,
            self._live_holders,
            is_isolated,
            self._events,
        )
        self._eras.on_new_era(restorer.wake)
        self._eras.on_claims_request(restorer.request_era)
        return restorer

    def _live_holders(self) -> list[ClaimHolder]:
        return [
            ClaimHolder(node.node_id, node.incarnation)
            for node in self._directory.alive()
        ]

    def registry(self, member: Member) -> Registry | None:
        """Create the registry through which nodes find each other."""
        if self._address is None:
            return None
        return Registry(
            self._guarded_tables("registry"),
            self._own,
            self._directory,
            member.set_contacts,
            lambda: member.isolated,
            self._events,
        )

    def quarantine_store(
        self, crash_history: CrashHistory, share: Callable[[CrashUpdate, float], None]
    ) -> QuarantineStore | None:
        """Create the part that keeps quarantines across restarts."""
        if self._address is None:
            return None
        return QuarantineStore(
            self._guarded_tables("quarantines"),
            self._own,
            self._directory,
            crash_history,
            self._events,
            share,
        )

    def _guarded_tables(self, purpose: str) -> GuardedTableService:
        guard = PlatformGuard(f"{self._own.node_id}/{self._own.incarnation}/{purpose}")
        self.guards.append(guard)
        tables = HttpTableService(self._address, self._eras.known)
        return GuardedTableService(tables, guard)
