"""All schedules of one request's reservations at two gates, without sockets.

The model has the real decisions of the ingress (`ReservationRace`) and of the gates
(`ReservationTable`, `AttemptTable`). Its network delivers messages in any order, loses
them and repeats them; the ingress or a gate may die at any moment.
"""

from enum import Enum

from testtools import TestCase

from balsamspindle.backend_servers.attempts import AttemptTable, BeginResult
from balsamspindle.backend_servers.cancellation import CancelToken
from balsamspindle.backend_servers.reservations import (
    ReservationState,
    ReservationTable,
)
from balsamspindle.protocol.outcomes import CancelCause, Execution
from balsamspindle.requests.reservation_race import ReservationRace
from balsamspindle.wire import AttemptId, Dispatch

GATES = (0, 1)
DEADLINE_S, HOLD_S = 100.0, 1.0
# Schedules with more than this many lost, repeated or late events are not explored.
FAULTS_MAX = 2


class Kind(Enum):
    RESERVE = "reserve"
    CALL = "call"
    REFUSE = "refuse"
    DISPATCH = "dispatch"
    CANCEL = "cancel"


def attempt_id(gate):
    return AttemptId("ingress", 1, gate)


def dispatch(gate):
    return Dispatch(
        attempt_id(gate), "", "", "", Execution.NON_IDEMPOTENT, 0, 1, "", "", [], b"", 0
    )


class GateModel:
    """One gate with one slot that becomes free once; time advances by expired holds."""

    def __init__(self) -> None:
        self.attempts, self.table = AttemptTable(), ReservationTable()
        self.reservation = None
        self.now_s, self.starts = 0.0, 0
        self.is_held = self.is_dead = False
        self.freed = 0

    def deliver(self, kind, gate):
        """Handle a message; return the messages that the gate sends."""
        if self.is_dead:
            return []
        match kind:
            case Kind.RESERVE:
                if not self.attempts.is_known(attempt_id(gate)):
                    opened = self.table.open(attempt_id(gate), DEADLINE_S, self.now_s)
                    self.reservation = opened or self.reservation
                return self._call()
            case Kind.CANCEL:
                cause = CancelCause.INGRESS_GAVE_UP
                self.table.withdraw(attempt_id(gate), cause)
                self.attempts.cancel(attempt_id(gate), DEADLINE_S, self.now_s, cause)
                self._release()
            case Kind.DISPATCH:
                if self.table.take(dispatch(gate), self.now_s):
                    token = self.reservation.token
                    self.is_held = False
                else:
                    token = CancelToken()
                begin = self.attempts.begin(
                    attempt_id(gate), token, DEADLINE_S, self.now_s
                )
                self.starts += begin is BeginResult.NEW
                return [] if begin is BeginResult.NEW else [Kind.REFUSE]
        return []

    def free_slot(self):
        """Give the slot that becomes free to the waiting reservation, if any."""
        self.freed += 1
        return self._call()

    def _call(self):
        reservation = self.reservation
        if not self.freed or reservation is None:
            return []
        if reservation.state is not ReservationState.WAITING:
            return []
        if not reservation.call(self.now_s, self.now_s + HOLD_S):
            return []
        self.is_held = True
        return [Kind.CALL]

    def expire(self):
        self.now_s += HOLD_S
        self._release()

    def _release(self):
        if self.is_held and not self.reservation.is_held(self.now_s):
            self.reservation.end()
            self.is_held = False


class World:
    """The ingress, two gates and the messages under way, after some events."""

    def __init__(self, events=()) -> None:
        self.gates = [GateModel(), GateModel()]
        self.race = ReservationRace(len(GATES))
        self.under_way = [(Kind.RESERVE, gate) for gate in GATES]
        self.dispatches = self.faults = 0
        self.is_ingress_dead = False
        self.has_given_up = False
        self._events = events
        for name, subject in events:
            getattr(self, f"_{name}")(subject)

    def steps(self):
        """Return the names of all events that may happen next."""
        steps = [("deliver", message) for message in set(self.under_way)]
        if self.faults < FAULTS_MAX:
            steps += [("lose", message) for message in set(self.under_way)]
            steps += [("repeat", message) for message in set(self.under_way)]
            steps += [("kill", gate) for gate in GATES if not self.gates[gate].is_dead]
            if not self.is_ingress_dead:
                steps.append(("kill_ingress", None))
            if not self.race.is_over:
                steps.append(("give_up", None))
        for gate in GATES:
            model = self.gates[gate]
            if not model.is_dead and not model.freed:
                steps.append(("free", gate))
            if not model.is_dead and model.is_held:
                steps.append(("expire", gate))
        return steps

    def after(self, step):
        """Return the world after one more event."""
        return World((*self._events, step))

    def _deliver(self, message):
        kind, gate = message
        self.under_way.remove(message)
        if kind in (Kind.CALL, Kind.REFUSE):
            self._ingress_receives(kind, gate)
            return
        for answer in self.gates[gate].deliver(kind, gate):
            self.under_way.append((answer, gate))

    def _ingress_receives(self, kind, gate):
        if self.is_ingress_dead:
            return
        if kind is Kind.CALL and self.race.record_call(gate):
            self.dispatches += 1
            self.under_way.append((Kind.DISPATCH, gate))
            self._take_back()
        elif kind is Kind.REFUSE:
            self.race.record_end(gate)

    def _take_back(self):
        self.under_way += [(Kind.CANCEL, number) for number in self.race.close()]

    def _give_up(self, _):
        self.faults += 1
        self.has_given_up = True
        self._take_back()

    def _lose(self, message):
        self.faults += 1
        self.under_way.remove(message)

    def _repeat(self, message):
        self.faults += 1
        self.under_way.append(message)

    def _kill(self, gate):
        self.faults += 1
        self.gates[gate].is_dead = True

    def _kill_ingress(self, _):
        self.faults += 1
        self.is_ingress_dead = True

    def _free(self, gate):
        self.under_way += [(kind, gate) for kind in self.gates[gate].free_slot()]

    def _expire(self, gate):
        self.gates[gate].expire()

    def state(self):
        """Return all that decides what can happen from here."""
        gates = tuple(
            (
                gate.reservation and gate.reservation.state,
                gate.reservation and gate.reservation.token.cancelled,
                gate.attempts.is_known(attempt_id(number)),
                gate.starts,
                gate.is_held,
                gate.is_dead,
                gate.freed,
            )
            for number, gate in enumerate(self.gates)
        )
        under_way = tuple(sorted((kind.value, gate) for kind, gate in self.under_way))
        race = tuple(state.name for state in self.race._states.values())
        rest = self.dispatches, self.faults, self.is_ingress_dead, self.has_given_up
        return gates, under_way, race, rest


def explore():
    """Yield each reachable world once, and whether nothing can happen any more."""
    first = World()
    seen, pending = {first.state()}, [first]
    while pending:
        world = pending.pop()
        nexts = [world.after(step) for step in world.steps()]
        yield world, not [step for step in world.steps() if step[0] in _NATURAL]
        for following in nexts:
            if following.state() not in seen:
                seen.add(following.state())
                pending.append(following)


# Events that happen in the end unless a fault prevents them.
_NATURAL = {"deliver", "free", "expire"}


class ReservationScheduleTests(TestCase):
    def test_no_schedule_starts_a_request_twice_or_keeps_a_slot_held(self):
        # Guards against two gates that both call, repeated and late messages, and the
        # death of the ingress or a gate between call and start.
        worlds = lost = 0
        for world, is_final in explore():
            worlds += 1
            starts = sum(gate.starts for gate in world.gates)
            self.assertLessEqual(starts, 1)
            self.assertLessEqual(world.dispatches, 1)
            self.assertLessEqual(starts, world.dispatches)
            if not is_final:
                continue
            held = [gate.is_held for gate in world.gates if not gate.is_dead]
            self.assertNotIn(True, held)
            if not world.faults:
                self.assertEqual(1, starts)
            lost += not starts
        self.assertGreater(worlds, 1000)
        self.assertGreater(lost, 0)

    def test_a_cancelled_id_never_starts(self):
        # Guards against a dispatch that arrives after its reservation was taken back.
        gate = GateModel()
        for kind in (Kind.RESERVE, Kind.CANCEL, Kind.DISPATCH):
            gate.deliver(kind, 0)
        self.assertEqual(0, gate.starts)

    def test_a_late_dispatch_is_handled_like_any_other(self):
        # Guards against a frozen ingress whose request would be lost although it has
        # not run: its slot has gone to another, its dispatch still counts.
        gate = GateModel()
        gate.deliver(Kind.RESERVE, 0)
        self.assertEqual([Kind.CALL], gate.free_slot())
        gate.expire()
        self.assertFalse(gate.is_held)
        gate.deliver(Kind.DISPATCH, 0)
        self.assertEqual(1, gate.starts)

    def test_an_ended_race_takes_no_call(self):
        # Guards against a call that crosses the ingress's own decision to give up.
        race = ReservationRace(2)
        self.assertEqual([0, 1], race.close())
        self.assertFalse(race.record_call(0))
        self.assertTrue(race.is_over)

    def test_only_the_first_call_starts_the_request(self):
        # Guards against two gates whose calls arrive together.
        race = ReservationRace(2)
        self.assertTrue(race.record_call(1))
        self.assertFalse(race.record_call(0))
        self.assertEqual([0], race.close())
