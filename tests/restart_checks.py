"""Checks the outcomes that callers received in a soak of restarts.

The outcomes are compared with the logs of nodes and backend servers, and with the
times at which these were restarted.
"""

import math
from collections import Counter, defaultdict

from tests.leaving_utils import read_events
from tests.persistent_caller import NO_ANSWER, Exchange, PersistentCaller
from tests.restart_fleet import (
    SERVICES,
    SHUTDOWN_TIMEOUT_S,
    SLOTS,
    RestartFleet,
    WorkClass,
)

__all__ = ["UNPLANNED", "OutcomeChecks", "RequestTrace"]

UNPLANNED = ("freeze", "kill")
# A request occupies one slot, and its hedge another one.
SLOTS_PER_CALLER = 2
# Time that a further attempt needs besides the work of the backend server.
ATTEMPT_RESERVE_S = 0.5
# With these reasons an ingress refuses a request for want of a backend server.
NO_SERVER_REASONS = frozenset(
    {"no_backend_server", "no_free_slot", "would_wait", "draining"}
)


class RequestTrace:
    """Runs and events of each request, from the logs of backend servers and nodes.

    All attributes are by run key.

    Attributes
    ----------
    runs : Counter of str
        How often each request ran.
    reached_gates : dict of str to set of str
        Names of the nodes to whose gates a request was sent, or whose backend
        servers ran it.
    last_sent_s : dict of str to float
        Wall-clock time at which the ingress sent the last attempt of a request.
    retry_denials : dict of str to str
        For a request whose retry was denied: how its last attempt ended, and the
        remaining retries of the ingress.
    """

    def __init__(self, fleet: RestartFleet) -> None:
        self.runs: Counter[str] = Counter()
        self.reached_gates: dict[str, set[str]] = defaultdict(set)
        self.last_sent_s: dict[str, float] = {}
        self.retry_denials: dict[str, str] = {}
        for name, server in fleet.servers.items():
            for line in server.log_path.read_text().splitlines():
                if line.startswith("event=run run_key="):
                    key = line.partition("run_key=")[2]
                    self.runs[key] += 1
                    self.reached_gates[key].add(name)
        for node in fleet.nodes.values():
            for event in read_events(node.log_path):
                key = event.get("request", "")
                if event["event"] == "retry_denied":
                    self.retry_denials[key] = (
                        f"{event.get('after')}, {event.get('retries_left')} remaining"
                    )
                elif event["event"] == "attempt_sent":
                    gate = event["backend_server"].removeprefix("server-")
                    self.reached_gates[key].add(gate)
                    self.last_sent_s[key] = float(event["wall_s"])


class OutcomeChecks:
    """Compares the outcomes that callers received with a `RequestTrace` and outages.

    Attributes
    ----------
    violations : list of str
        Descriptions of the requests whose outcome the fleet must not produce, and of
        answers that belonged to another request.
    counts : Counter of str
        Number of requests by kind of work, outcome and reason, and by the result of
        each check.
    """

    def __init__(
        self, fleet: RestartFleet, callers: dict[PersistentCaller, WorkClass]
    ) -> None:
        self._trace, self._fleet, self._callers = RequestTrace(fleet), fleet, callers
        self._ingresses = {node.caller_address: n for n, node in fleet.nodes.items()}
        self._answered_s: dict[tuple[WorkClass, str], list[float]] = defaultdict(list)
        self.violations = [
            violation for caller in callers for violation in caller.violations
        ]
        self.counts: Counter[str] = Counter()

    def run(self) -> None:
        """Check all requests; fill `violations` and `counts`."""
        requests = [
            (work, key, exchange)
            for caller, work in self._callers.items()
            for key, exchange in caller.exchanges.items()
        ]
        for work, _, exchange in requests:
            if exchange.outcome == "answered":
                self._answered_s[work, exchange.address].append(exchange.ended_s)
        for request in requests:
            self._check(*request)

    def _check(self, work: WorkClass, key: str, exchange: Exchange) -> None:
        name = work.name.partition("-")[2]
        self.counts[f"{name} {exchange.outcome} {exchange.reason}".rstrip()] += 1
        runs = self._trace.runs[key]
        if exchange.reason in NO_SERVER_REASONS and self._has_available_server(
            work, exchange
        ):
            self.counts["refused_with_available_server"] += 1
        if runs > 1 and not work.is_idempotent:
            self._record_violation("ran_twice", key, exchange)
        if exchange.outcome == "not_run" and runs:
            self._record_violation("not_run_and_ran", key, exchange)
        if exchange.outcome == "answered" and not runs:
            self._record_violation("answered_and_not_run", key, exchange)
        if exchange.outcome not in ("unknown", NO_ANSWER):
            return
        if self._is_excused(key, exchange):
            self.counts["excused"] += 1
        elif exchange.outcome == NO_ANSWER and self._trace.reached_gates[key]:
            self._record_violation("ended_without_answer", key, exchange)
        elif exchange.outcome == NO_ANSWER:
            self.counts["ended_without_attempt"] += 1
        elif work.is_idempotent:
            self._check_given_up(work, key, exchange)
        else:
            self._check_cut(work, key, exchange)

    def _record_violation(self, name: str, key: str, exchange: Exchange) -> None:
        self.counts[name] += 1
        ingress = self._ingresses[exchange.address]
        since_sigterm_s = {
            gate: round(exchange.ended_s - sigterm_s, 1)
            for gate in (ingress, *self._trace.reached_gates[key])
            if (sigterm_s := self._sigterm_s(gate, exchange)) < math.inf
        }
        self.violations.append(
            f"{name}: {key} {exchange.outcome} {exchange.reason} after"
            f" {exchange.ended_s - exchange.sent_s:.1f} s, ingress {ingress}, gates"
            f" {sorted(self._trace.reached_gates[key])}, seconds since SIGTERM"
            f" {since_sigterm_s}, retry denied after"
            f" {self._trace.retry_denials.get(key)}"
        )

    def _check_given_up(self, work: WorkClass, key: str, exchange: Exchange) -> None:
        """Check that an ingress had a valid reason to end an idempotent request.

        Valid reasons are that another attempt would have lasted longer than the
        timeout of the request, or that no backend server was available. An ingress
        that received SIGTERM ends after `SHUTDOWN_TIMEOUT_S`; it need not start an
        attempt that would last longer.
        """
        retry_end_s = exchange.ended_s + work.work_ms / 1000 + ATTEMPT_RESERVE_S
        sigterm_s = self._sigterm_s(self._ingresses[exchange.address], exchange)
        if retry_end_s > exchange.sent_s + work.timeout_ms / 1000:
            self.counts["given_up_without_time"] += 1
        elif not self._has_available_server(work, exchange):
            self.counts["given_up_without_server"] += 1
        elif retry_end_s <= sigterm_s + SHUTDOWN_TIMEOUT_S:
            self._record_violation("given_up_with_time_left", key, exchange)
        elif exchange.sent_s > sigterm_s:
            self.counts["received_by_leaving_ingress_and_given_up"] += 1
        elif self._is_gate_leaving(key, exchange):
            self.counts["given_up_by_leaving_ingress_and_gate"] += 1
        else:
            self.counts["given_up_by_leaving_ingress"] += 1

    def _check_cut(self, work: WorkClass, key: str, exchange: Exchange) -> None:
        """Check that a non-idempotent request had a valid cause for outcome `unknown`.

        Valid causes are the shutdown of the gate, and that of the ingress if the
        request was sent to the gate before. A request that the ingress sent during its
        shutdown is a violation if the ingress knew how long such work lasts, since it
        must not start work that lasts longer than the rest of its shutdown.
        """
        sigterm_s = self._sigterm_s(self._ingresses[exchange.address], exchange)
        if sigterm_s == math.inf and self._is_gate_leaving(key, exchange):
            self.counts["cut_by_leaving_gate"] += 1
        elif sigterm_s == math.inf:
            self._record_violation("unknown_without_cause", key, exchange)
        elif self._trace.last_sent_s.get(key, 0.0) <= sigterm_s:
            self.counts["cut_by_leaving_ingress"] += 1
        elif self._is_duration_known(work, exchange.address, sigterm_s):
            self._record_violation("cut_with_known_duration", key, exchange)
        else:
            self.counts["cut_with_unknown_duration"] += 1

    def _is_duration_known(
        self, work: WorkClass, address: str, sigterm_s: float
    ) -> bool:
        """Return whether an ingress had answered such work between start and SIGTERM.

        The ingress then knows how long such work lasts.
        """
        outages = self._fleet.outages
        name = self._ingresses[address]
        started_s = max(
            (
                outage.to_s
                for outage in outages
                if outage.target == name and outage.to_s < sigterm_s
            ),
            default=0.0,
        )
        return any(
            started_s < at_s < sigterm_s for at_s in self._answered_s[work, address]
        )

    def _is_gate_leaving(self, key: str, exchange: Exchange) -> bool:
        gates = self._trace.reached_gates[key] - {self._ingresses[exchange.address]}
        return any(self._sigterm_s(gate, exchange) < math.inf for gate in gates)

    def _sigterm_s(self, name: str, exchange: Exchange) -> float:
        """Return when a node received the SIGTERM of its restart.

        The restart must have been under way when the exchange ended; otherwise
        infinity is returned.
        """
        for outage in self._fleet.outages:
            if outage.target == name and outage.kind == "restart":
                if outage.covers(exchange.ended_s):
                    return outage.from_s
        return math.inf

    def _has_available_server(self, work: WorkClass, exchange: Exchange) -> bool:
        outages = self._fleet.outages
        unavailable = {
            outage.target for outage in outages if outage.covers(exchange.ended_s)
        }
        services = self._fleet.services
        available = [
            name
            for name in services
            if services[name] == work.service and name not in unavailable
        ]
        needed = len(self._callers) // len(SERVICES) * SLOTS_PER_CALLER
        # A backend server that was just started is given only half of its load.
        return len(available) * SLOTS // 2 >= needed

    def _is_excused(self, key: str, exchange: Exchange) -> bool:
        """Return whether an unplanned fault could have affected a request.

        The fault must overlap the request in time. It affects a request if it is at a
        gate or backend server that the request reached, or if it kills the ingress.
        """
        ingress = self._ingresses[exchange.address]
        return any(
            outage.from_s <= exchange.ended_s
            and exchange.sent_s <= outage.to_s
            and (
                outage.target in self._trace.reached_gates[key]
                or (outage.kind, outage.target) == ("kill", ingress)
            )
            for outage in self._fleet.outages
            if outage.kind in UNPLANNED
        )
