"""What a soak of restarts promises, held against logs and backend servers."""

import math
from collections import Counter, defaultdict

from tests.kept_caller import NO_ANSWER, Exchange, KeptCaller
from tests.leaving_utils import read_events
from tests.restart_fleet import (
    SERVICES,
    SHUTDOWN_TIMEOUT_S,
    SLOTS,
    RestartFleet,
    Work,
)

__all__ = ["UNPLANNED", "Checks", "Trail"]

UNPLANNED = ("freeze", "kill")
# A second attempt beside a slow one takes a slot, too.
SLOTS_OF_A_CALLER = 2
# Besides the work itself, for one more attempt.
ATTEMPT_RESERVE_S = 0.5
# Why a request is told that it was not run for want of a backend server.
PLACELESS = frozenset({"no_backend_server", "no_free_slot", "would_wait", "draining"})


class Trail:
    """What backend servers ran and what nodes wrote of requests, by run key.

    Attributes
    ----------
    places : dict of str to set of str
        Nodes beside whose backend servers a request ran or was sent to run.
    sent_on_s : dict of str to float
        When a request's last attempt left its ingress.
    denied : dict of str to str
        What ended the attempts of a request that was given up, and how many
        more its ingress could have paid for.
    """

    def __init__(self, fleet: RestartFleet) -> None:
        self.runs: Counter[str] = Counter()
        self.places: dict[str, set[str]] = defaultdict(set)
        self.sent_on_s: dict[str, float] = {}
        self.denied: dict[str, str] = {}
        for name, server in fleet.servers.items():
            for line in server.log_path.read_text().splitlines():
                if line.startswith("event=run run_key="):
                    key = line.partition("run_key=")[2]
                    self.runs[key] += 1
                    self.places[key].add(name)
        for node in fleet.nodes.values():
            for event in read_events(node.log_path):
                key = event.get("request", "")
                if event["event"] == "retry_denied":
                    self.denied[key] = (
                        f"{event.get('after')}, {event.get('retries_left')} left"
                    )
                elif event["event"] == "attempt_sent":
                    place = event["backend_server"].removeprefix("server-")
                    self.places[key].add(place)
                    self.sent_on_s[key] = float(event["wall_s"])


class Checks:
    """Holds what callers were told against a trail and the outages.

    Attributes
    ----------
    faults : list of str
        Broken promises.
    figures : Counter
        What callers were told, and why.
    """

    def __init__(self, fleet: RestartFleet, callers: dict[KeptCaller, Work]) -> None:
        self._trail, self._fleet, self._callers = Trail(fleet), fleet, callers
        self._ingresses = {node.caller_address: n for n, node in fleet.nodes.items()}
        self._answered_s: dict[tuple[Work, str], list[float]] = defaultdict(list)
        self.faults = [fault for caller in callers for fault in caller.faults]
        self.figures: Counter[str] = Counter()

    def run(self) -> None:
        """Check all requests."""
        exchanges = [
            (work, key, told)
            for caller, work in self._callers.items()
            for key, told in caller.told.items()
        ]
        for work, _, told in exchanges:
            if told.outcome == "answered":
                self._answered_s[work, told.address].append(told.ended_s)
        for exchange in exchanges:
            self._check(*exchange)

    def _check(self, work: Work, key: str, told: Exchange) -> None:
        name = work.name.partition("-")[2]
        self.figures[f"{name} {told.outcome} {told.reason}".rstrip()] += 1
        runs = self._trail.runs[key]
        if told.reason in PLACELESS and self._is_one_free(work, told):
            self.figures["refused_with_a_place"] += 1
        if runs > 1 and not work.is_idempotent:
            self._fault("ran_twice", key, told)
        if told.outcome == "not_run" and runs:
            self._fault("not_run_and_ran", key, told)
        if told.outcome == "answered" and not runs:
            self._fault("answered_and_not_run", key, told)
        if told.outcome not in ("unknown", NO_ANSWER):
            return
        if self._is_excused(key, told):
            self.figures["excused"] += 1
        elif told.outcome == NO_ANSWER and self._trail.places[key]:
            self._fault("ended_without_answer", key, told)
        elif told.outcome == NO_ANSWER:
            self.figures["ended_and_not_sent_on"] += 1
        elif work.is_idempotent:
            self._check_given_up(work, key, told)
        else:
            self._check_cut(work, key, told)

    def _fault(self, name: str, key: str, told: Exchange) -> None:
        self.figures[name] += 1
        ingress = self._ingresses[told.address]
        out_s = {
            place: round(told.ended_s - left_s, 1)
            for place in (ingress, *self._trail.places[key])
            if (left_s := self._left_s(place, told)) < math.inf
        }
        self.faults.append(
            f"{name}: {key} {told.outcome} {told.reason} after"
            f" {told.ended_s - told.sent_s:.1f} s, ingress {ingress}, places"
            f" {sorted(self._trail.places[key])}, s since SIGTERM {out_s},"
            f" denied after {self._trail.denied.get(key)}"
        )

    def _check_given_up(self, work: Work, key: str, told: Exchange) -> None:
        """Check that there was no time, or no place, for one more attempt.

        A leaving ingress has only the time for its orderly end.
        """
        again_s = told.ended_s + work.work_ms / 1000 + ATTEMPT_RESERVE_S
        left_s = self._left_s(self._ingresses[told.address], told)
        if again_s > told.sent_s + work.timeout_ms / 1000:
            self.figures["given_up_without_time"] += 1
        elif not self._is_one_free(work, told):
            self.figures["given_up_without_place"] += 1
        elif again_s <= left_s + SHUTDOWN_TIMEOUT_S:
            self._fault("given_up_with_time_left", key, told)
        elif told.sent_s > left_s:
            self.figures["read_by_leaving_ingress_and_given_up"] += 1
        elif self._is_gate_leaving(key, told):
            self.figures["given_up_by_leaving_ingress_and_gate"] += 1
        else:
            self.figures["given_up_by_leaving_ingress"] += 1

    def _check_cut(self, work: Work, key: str, told: Exchange) -> None:
        """Sort an `unknown` of work that may not be repeated."""
        left_s = self._left_s(self._ingresses[told.address], told)
        if left_s == math.inf and self._is_gate_leaving(key, told):
            self.figures["cut_by_leaving_gate"] += 1
        elif left_s == math.inf:
            self._fault("unknown_without_cause", key, told)
        elif self._trail.sent_on_s.get(key, 0.0) <= left_s:
            self.figures["cut_by_leaving_ingress"] += 1
        elif self._is_known(work, told.address, left_s):
            self._fault("started_to_be_cut", key, told)
        else:
            self.figures["started_unknowing_to_be_cut"] += 1

    def _is_known(self, work: Work, address: str, left_s: float) -> bool:
        """Tell whether a process had seen how long such work takes when it left."""
        outages = self._fleet.outages
        name = self._ingresses[address]
        began_s = max(
            (one.to_s for one in outages if one.target == name and one.to_s < left_s),
            default=0.0,
        )
        return any(began_s < at_s < left_s for at_s in self._answered_s[work, address])

    def _is_gate_leaving(self, key: str, told: Exchange) -> bool:
        gates = self._trail.places[key] - {self._ingresses[told.address]}
        return any(self._left_s(gate, told) < math.inf for gate in gates)

    def _left_s(self, name: str, told: Exchange) -> float:
        """Return when a node that was restarted at an exchange's end got SIGTERM."""
        for outage in self._fleet.outages:
            if outage.target == name and outage.kind == "restart":
                if outage.lasts(told.ended_s):
                    return outage.from_s
        return math.inf

    def _is_one_free(self, work: Work, told: Exchange) -> bool:
        outages = self._fleet.outages
        out = {outage.target for outage in outages if outage.lasts(told.ended_s)}
        of = self._fleet.services
        well = [name for name in of if of[name] == work.service and name not in out]
        needed = len(self._callers) // len(SERVICES) * SLOTS_OF_A_CALLER
        # Right after its start a backend server takes half of its load.
        return len(well) * SLOTS // 2 >= needed

    def _is_excused(self, key: str, told: Exchange) -> bool:
        """Tell whether a request met an unplanned fault itself."""
        ingress = self._ingresses[told.address]
        return any(
            outage.from_s <= told.ended_s
            and told.sent_s <= outage.to_s
            and (
                outage.target in self._trail.places[key]
                or (outage.kind, outage.target) == ("kill", ingress)
            )
            for outage in self._fleet.outages
            if outage.kind in UNPLANNED
        )
