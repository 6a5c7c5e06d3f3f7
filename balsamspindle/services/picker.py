"""Chooses the backend server for a request."""

import random
from collections.abc import Callable, Sequence, Set

from balsamspindle.membership.directory import Directory, Placement
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.services.floor import FloorDecision
from balsamspindle.services.view import ServiceView, make_view
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.wire import BackendServerRecord, NodeRecord

__all__ = ["FreeSlots", "Picker", "choose_freest"]

FreeSlots = Callable[[Placement], float]

_NO_BACKEND_SERVER = BackendServerRecord("-", "-", "-", 0, "-")

# Each draw selects two random backend servers of a tier. If none has a free slot in
# this many draws, the tier counts as busy.
DRAWS_MAX = 3


class Picker:
    """Chooses backend servers for one node's ingress.

    The view of a service is cached. It is rebuilt only when the service's floor or its
    placements in the directory change, so the cost of a choice does not depend on the
    number of backend servers.

    Parameters
    ----------
    own : NodeRecord
        The record of the picker's node.
    directory : Directory
    configuration : CurrentConfiguration
        Contains the services' floors.
    on_decision : callable, default=nothing
        Called with a service's name and its floor decision. It is called for the first
        decision, and for each decision whose cause differs from the previous one's.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        configuration: CurrentConfiguration,
        on_decision: Callable[[str, FloorDecision], None] = lambda *_: None,
    ) -> None:
        self._on_decision = on_decision
        self._own = own
        self._directory = directory
        self._configuration = configuration
        self._views: dict[str, ServiceView] = {}

    def pick(
        self,
        service: str,
        execution: Execution,
        excluded: Set[str],
        free_slots: FreeSlots,
        rng: random.Random,
    ) -> Placement | None:
        """Choose a backend server for a request.

        Of two random backend servers of the nearest tier, the one with more free slots
        is chosen. If the tier is busy, the next wider tier is tried. A fraction of the
        idempotent requests goes to a backend server on trial instead.

        Parameters
        ----------
        excluded : set of str
            Ids of backend servers that must not get this request.
        free_slots : callable
            Returns the estimated free slots of a backend server.

        Returns
        -------
        Placement or None
            None if no usable backend server remains. If all tiers are busy, a backend
            server without free slots, whose gate may queue the request.
        """
        view = self.view(service)
        if _draw_trial(view, execution, rng):
            placement = _choose(view.trials, excluded, free_slots, rng)
            if placement is not None:
                return placement
        placement = None
        for tier in view.tiers:
            placement = _choose(tier, excluded, free_slots, rng) or placement
            # When a tier is busy, try the next wider tier. Otherwise the preference for
            # the own zone would overload a zone with few backend servers.
            if placement is not None and free_slots(placement) > 0:
                return placement
        return placement

    def split_by_zone(
        self, service: str, execution: Execution
    ) -> tuple[Sequence[Placement], Sequence[Placement]]:
        """Return the usable placements in the own zone and those in other zones.

        The placements on the own VM come first. For idempotent requests the second list
        also contains the backend servers on trial in all zones. Their gates decide
        whether to accept the request.
        """
        view = self.view(service)
        near = (*view.tiers[0], *view.tiers[1])
        far = [placement for placement in view.tiers[-1] if placement not in near]
        if execution is Execution.IDEMPOTENT:
            far.extend(view.trials)
        return near, far

    def locate(self, node_id: str, service: str) -> Placement | None:
        """Return a service's placement at a node; None when the node is not known.

        When the node no longer has a backend server of the service, the id of the
        placement's backend server is "-". The node's gate can then still be queried
        about requests that it ran.
        """
        for placement in self._directory.placements(service):
            if placement.node.node_id == node_id:
                return placement
        for record in self._directory.alive():
            if record.node_id == node_id:
                return Placement(record, _NO_BACKEND_SERVER)
        return None

    def view(self, service: str) -> ServiceView:
        """Return the current view of a service."""
        floor_fraction = self._floor_fraction(service)
        placements = self._directory.placements(service)
        view = self._views.get(service)
        if view is not None and view.floor_fraction == floor_fraction:
            if view.placements is placements:
                return view
            if view.placements == placements:
                # The directory rebuilt its index, but the service did not change.
                view = view._replace(placements=placements)
                self._views[service] = view
                return view
        previous, view = view, make_view(placements, self._own, floor_fraction)
        self._views[service] = view
        if previous is None or previous.decision.cause is not view.decision.cause:
            self._on_decision(service, view.decision)
        return view

    def floor_decision(self, service: str) -> FloorDecision:
        """Return which suspected backend servers of a service are left out, and why."""
        return self.view(service).decision

    def _floor_fraction(self, service: str) -> float:
        configuration = self._configuration.get()
        document = configuration and configuration.services.get(service)
        # If the settings do not define the service (yet), eject nothing.
        return document.floor_fraction if document else 1.0


def _draw_trial(view: ServiceView, execution: Execution, rng: random.Random) -> bool:
    """Return at random whether a request goes to a backend server on trial.

    Non-idempotent requests never go to a backend server on trial. A request may fail
    there without evidence of whether it ran. A non-idempotent request could then not be
    retried, and its caller would get `unknown`.
    """
    if not view.trials or execution is not Execution.IDEMPOTENT:
        return False
    return rng.random() < view.trial_chance


def choose_freest(
    placements: Sequence[Placement],
    excluded: Set[str],
    free_slots: FreeSlots,
    rng: random.Random,
) -> Placement | None:
    """Return the placement with the most free slots, at random if several are equal."""
    remaining = [
        placement
        for placement in placements
        if placement.backend_server.backend_server_id not in excluded
    ]
    if not remaining:
        return None
    return max(remaining, key=lambda placement: (free_slots(placement), rng.random()))


def _choose(
    tier: Sequence[Placement],
    excluded: Set[str],
    free_slots: FreeSlots,
    rng: random.Random,
) -> Placement | None:
    """Return the one of two random placements that has more free slots.

    If both are busy, two are drawn again, in at most `DRAWS_MAX` draws; then a busy
    placement is returned. Returns None when all placements of the tier are excluded.
    """
    if excluded:
        tier = [
            placement
            for placement in tier
            if placement.backend_server.backend_server_id not in excluded
        ]
    if not tier:
        return None
    for _ in range(DRAWS_MAX):
        placement = max(_draw(tier, rng), _draw(tier, rng), key=free_slots)
        if len(tier) == 1 or free_slots(placement) > 0:
            break
    return placement


def _draw(tier: Sequence[Placement], rng: random.Random) -> Placement:
    return tier[int(rng.random() * len(tier))]
