"""Gets proofs that this node's settings are new enough for its keys to be used.

A few nodes of each zone, its readers, read the store. The other nodes query the readers
of their zone for a newer proof. They read the store themselves only if no node of the
zone has one. The age of a proof from a peer is the age that the peer reports plus the
time since the question was sent. If the question or the answer is delayed, for instance
by a paused process, the proof seems older than it is, but never newer.
"""

import itertools
import math
import random
import secrets
import threading
from collections.abc import Callable
from typing import NamedTuple

import msgspec

from balsamspindle.customers.freshness import Freshness, Proof
from balsamspindle.membership.directory import Directory
from balsamspindle.settings.reader_selection import is_reader, select_readers
from balsamspindle.tables.proof_clock import proof_time_s
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord

__all__ = ["ProofAnswer", "ProofRefresher", "ProofQuestion"]

TICK_S = 0.1
READERS_PER_ZONE_MIN = 2
# A reader is a node that reads the store regularly. A zone has one reader for every
# NODES_PER_READER of its nodes, rounded up, but at least READERS_PER_ZONE_MIN readers.
NODES_PER_READER = 32
# Interval at which readers read the store.
READ_INTERVAL_S = 1.5
# Once a node's proof has this age, the node queries peers for a newer one.
QUERY_AT_AGE_S = 1.5
# Interval at which a node queries peers until it receives a newer proof.
QUERY_INTERVAL_S = 0.4
# A node that needs a newer proof first sends READER_QUESTIONS questions to readers of
# its own zone (the nodes that read the store), then ZONE_QUESTIONS questions to any
# nodes of its zone. If it still has no newer proof, it queries readers of all zones.
READER_QUESTIONS, ZONE_QUESTIONS = 2, 1
# Once a node's proof has this age, the node may read the store even if it isn't a
# reader.
READ_AT_AGE_S = 2.5
# Interval at which a node that isn't a reader reads the store while it receives no
# newer proof from peers. The interval is doubled after each read, up to the maximum. If
# peers answer but have no newer proof, the store is probably unavailable to all nodes,
# so the interval rises to the maximum after a single read.
OWN_READ_INTERVAL_S, OWN_READ_INTERVAL_MAX_S = 1.0, 8.0
OPEN_QUESTIONS_MAX = 16
NUMBER_START_BITS = 62


class ProofQuestion(msgspec.Struct, array_like=True, tag="proof_ask", frozen=True):
    """Queries another node for its newest usable proof.

    Attributes
    ----------
    address : str
        Member address of the querying node, to which the answer is sent.
    """

    address: str
    number: int


class ProofAnswer(msgspec.Struct, array_like=True, tag="proof", frozen=True):
    """The newest usable proof of a node, in answer to a `ProofQuestion`.

    Attributes
    ----------
    number : int
        The question's number.
    age_ms : float
        Age of the proof when the answer was made; 0 without a proof.
    revision : int
        The proof's revision; -1 without a proof.
    """

    number: int
    age_ms: float
    revision: int


class _OpenQuestion(NamedTuple):
    sent_s: float
    address: str


class ProofRefresher:
    """Renews one node's proof that its settings are new enough.

    Parameters
    ----------
    read : callable
        Starts a read of the store, whose result is then passed to `record_read`.
    send : callable
        Sends a message to a member address; thread-safe.
    """

    def __init__(
        self,
        own: NodeRecord,
        directory: Directory,
        freshness: Freshness,
        events: EventLog,
        read: Callable[[], None],
        send: Callable[[str, msgspec.Struct], None],
        clock: Callable[[], float] = proof_time_s,
    ) -> None:
        self._own = own
        self._directory = directory
        self._freshness = freshness
        self._events = events
        self._read = read
        self._send = send
        self._clock = clock
        self._random = random.Random(f"{own.node_id}/{own.incarnation}/proofs")
        self._stopped = threading.Event()
        # An answer to a question of an earlier process at this address may still
        # arrive, so the numbers of two processes must differ.
        self._numbers = itertools.count(secrets.randbits(NUMBER_START_BITS))
        self._lock = threading.Lock()
        self._open_questions: dict[int, _OpenQuestion] = {}
        self._next_question_s = 0.0
        self._next_read_s = 0.0
        self._own_read_interval_s = OWN_READ_INTERVAL_S
        # Number of questions sent and number of answers received since this node last
        # received a newer proof.
        self._question_count = 0
        self._answer_count = 0
        # Address of the peer that sent the last answer, if it had a newer proof. This
        # peer is queried first for the next proof.
        self._preferred_address: str | None = None
        self._was_fresh = False
        self._changed_s = clock()

    def run_reads(self) -> None:
        """Read the store whenever a read is due, until `stop` is called."""
        while not self._stopped.wait(TICK_S):
            if self.check_read_due(self._clock()):
                self._read()

    def run_questions(self) -> None:
        """Query a peer for a newer proof whenever due, until `stop` is called."""
        while not self._stopped.wait(TICK_S):
            now_s = self._clock()
            self._log_change(now_s)
            address = self.choose_peer(now_s)
            if address is not None:
                self.send_question(address, now_s)

    def stop(self) -> None:
        """Make `run_reads` and `run_questions` return within `TICK_S`."""
        self._stopped.set()

    def record_read(self, began_s: float, revision: int) -> None:
        """Record the revision that a read of the store returned."""
        self._record_proof(Proof(began_s, revision))
        self._own_read_interval_s = OWN_READ_INTERVAL_S

    def answer_question(self, question: ProofQuestion) -> None:
        """Send this node's newest usable proof to the peer that queried it."""
        proof = self._freshness.proven().proof
        age_ms = (self._clock() - proof.began_s) * 1000
        if proof.revision < 0:
            age_ms = 0.0
        self._send(
            question.address, ProofAnswer(question.number, age_ms, proof.revision)
        )

    def receive_answer(self, answer: ProofAnswer) -> None:
        """Record a peer's proof, with the time since the question added to its age."""
        with self._lock:
            question = self._open_questions.pop(answer.number, None)
            self._answer_count += question is not None
        if question is not None and answer.revision >= 0:
            began_s = question.sent_s - max(0.0, answer.age_ms) / 1000
            proof = Proof(began_s, answer.revision, question.address)
            is_newer = self._record_proof(proof)
            with self._lock:
                self._preferred_address = question.address if is_newer else None

    def check_read_due(self, now_s: float) -> bool:
        """Return whether to read the store now; if so, schedule the next read."""
        if now_s < self._next_read_s:
            return False
        if self._is_reader():
            self._next_read_s = now_s + READ_INTERVAL_S
            return True
        with self._lock:
            is_asking_zone = self._question_count < READER_QUESTIONS + ZONE_QUESTIONS
        if is_asking_zone or self._age_s(now_s) < READ_AT_AGE_S:
            return False
        interval_s = self._own_read_interval_s * self._random.uniform(0.7, 1.3)
        with self._lock:
            is_answered = self._answer_count > 0
        next_min_s = OWN_READ_INTERVAL_MAX_S if is_answered else OWN_READ_INTERVAL_S
        self._own_read_interval_s = min(
            OWN_READ_INTERVAL_MAX_S, max(next_min_s, 2 * self._own_read_interval_s)
        )
        self._next_read_s = now_s + interval_s
        return True

    def choose_peer(self, now_s: float) -> str | None:
        """Return the member address of the peer to query for a newer proof now.

        None if no question is due or no peer is known. If a question is due, also
        schedules the next question.
        """
        if now_s < self._next_question_s or self._age_s(now_s) < QUERY_AT_AGE_S:
            return None
        self._next_question_s = now_s + QUERY_INTERVAL_S
        with self._lock:
            question_count, preferred = self._question_count, self._preferred_address
        if question_count == 0 and preferred is not None:
            return preferred
        candidates = self._candidates(question_count)
        return self._random.choice(candidates).member_address if candidates else None

    def _candidates(self, question_count: int) -> list[NodeRecord]:
        """Return the nodes among which the next question's receiver is chosen.

        Parameters
        ----------
        question_count : int
            Number of questions sent since this node last received a newer proof.
        """
        zones: dict[str, list[NodeRecord]] = {}
        for record in self._directory.alive():
            if record.node_id != self._own.node_id:
                zones.setdefault(record.availability_zone, []).append(record)
        own_zone = zones.get(self._own.availability_zone, [])
        per_zone = self._readers_per_zone()
        if own_zone and question_count < READER_QUESTIONS:
            return select_readers(own_zone, per_zone)
        if own_zone and question_count < READER_QUESTIONS + ZONE_QUESTIONS:
            return own_zone
        return [
            reader
            for zone in zones.values()
            for reader in select_readers(zone, per_zone)
        ]

    def send_question(self, address: str, now_s: float) -> None:
        """Query a peer for its newest usable proof."""
        number = next(self._numbers)
        with self._lock:
            self._question_count += 1
            self._open_questions[number] = _OpenQuestion(now_s, address)
            while len(self._open_questions) > OPEN_QUESTIONS_MAX:
                del self._open_questions[next(iter(self._open_questions))]
        self._send(address, ProofQuestion(self._own.member_address, number))

    def _record_proof(self, proof: Proof) -> bool:
        """Record a proof; return whether this node now has a newer usable proof."""
        before = self._freshness.proven().proof
        self._freshness.record(proof)
        is_newer = self._freshness.proven().proof.began_s > before.began_s
        if is_newer:
            with self._lock:
                self._question_count = self._answer_count = 0
        return is_newer

    def _age_s(self, now_s: float) -> float:
        return self._freshness.proven().age_s(now_s)

    def _is_reader(self) -> bool:
        return is_reader(self._own, self._directory.alive(), self._readers_per_zone())

    def _readers_per_zone(self) -> int:
        zone = self._own.availability_zone
        count = sum(
            record.availability_zone == zone for record in self._directory.alive()
        )
        return max(READERS_PER_ZONE_MIN, math.ceil(count / NODES_PER_READER))

    def _log_change(self, now_s: float) -> None:
        """Log that this node stopped using keys, or that it uses them again."""
        proven = self._freshness.proven()
        is_fresh = self._freshness.is_fresh(proven, now_s)
        if is_fresh is self._was_fresh:
            return
        lasted_s = now_s - self._changed_s
        self._was_fresh, self._changed_s = is_fresh, now_s
        self._events.emit(
            "freshness_regained" if is_fresh else "freshness_lost",
            revision=proven.revision,
            proof_age_s=f"{proven.age_s(now_s):.1f}",
            after_s=f"{lasted_s:.1f}",
        )
