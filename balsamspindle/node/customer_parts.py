"""Creates the parts of a node that admit or refuse customers' requests."""

import time
from collections.abc import Callable

from balsamspindle.backend_servers.link_server import LinkServer
from balsamspindle.customers import CustomerAdmission
from balsamspindle.customers.freshness import Freshness
from balsamspindle.customers.granters import Granters, LimitPolicy, Scope
from balsamspindle.customers.limits import Limiter
from balsamspindle.customers.proofs import ProofAnswer, ProofQuestion, ProofRefresher
from balsamspindle.membership import Directory, Member
from balsamspindle.protocol.outcomes import Execution
from balsamspindle.requests.link_pool import LinkPool, LinksExhausted
from balsamspindle.requests.links import Link
from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.limit_messages import LimitAnswer, LimitQuestion, LimitReturn

__all__ = ["CustomerParts"]


# Timeout for a node's answer to a limit question; covers several round trips within a
# zone.
QUESTION_TIMEOUT_S = 0.25


class PooledLimitLinks:
    """Sends limit questions and returns over the links that also transfer attempts."""

    def __init__(self, links: LinkPool) -> None:
        self._links = links

    def request_grant(
        self, node: NodeRecord, question: LimitQuestion
    ) -> LimitAnswer | None:
        """See `balsamspindle.customers.limits.LimitLinks`."""
        link = self._acquire_link(node)
        if link is None:
            return None
        answer = link.query(question, time.monotonic() + QUESTION_TIMEOUT_S)
        if answer is None:
            link.close()
        else:
            self._links.release(link)
        return answer

    def send(self, node: NodeRecord, message: LimitReturn) -> None:
        """See `balsamspindle.customers.limits.LimitLinks`."""
        link = self._acquire_link(node)
        if link is not None:
            link.send(message)
            self._links.release(link)

    def _acquire_link(self, node: NodeRecord) -> Link | None:
        # A limit message may be sent twice without harm. The link is therefore acquired
        # as for an idempotent request: fewer idle links are checked before their use.
        deadline_s = time.monotonic() + QUESTION_TIMEOUT_S
        try:
            return self._links.acquire(
                node.link_address, deadline_s, Execution.IDEMPOTENT
            )
        except LinksExhausted:
            return None


class CustomerParts:
    """Admission of customers' requests at one node, with the parts that it needs.

    Parameters
    ----------
    renew_proof : callable
        Starts a read of the store's newest revision. The result is passed to
        `record_read` and proves whether the settings in force are the newest.

    Attributes
    ----------
    admission : CustomerAdmission
    """

    def __init__(
        self,
        settings: NodeSettings,
        own: NodeRecord,
        directory: Directory,
        member: Member,
        configuration: CurrentConfiguration,
        events: EventLog,
        renew_proof: Callable[[], None],
        links: LinkPool,
        link_server: LinkServer,
    ) -> None:
        self._freshness = Freshness(settings.key_proof_max_age_s, configuration)
        policy = LimitPolicy(
            settings.availability_zones,
            settings.limit_window_s,
            settings.limit_over_part,
            settings.limit_slack,
        )
        granters = {scope: Granters(own, directory, scope, policy) for scope in Scope}
        self._limiter = Limiter(own, granters, PooledLimitLinks(links))
        link_server.register(
            {
                LimitQuestion: self._limiter.answer,
                LimitReturn: self._limiter.receive_return,
            }
        )
        self.admission = CustomerAdmission(
            configuration, self._freshness, self._limiter
        )
        self._proofs = ProofRefresher(
            own,
            directory,
            self._freshness,
            events,
            renew_proof,
            member.send,
        )
        member.register(
            {
                ProofQuestion: self._proofs.answer_question,
                ProofAnswer: self._proofs.receive_answer,
            }
        )

    def record_read(self, began_s: float, revision: int) -> None:
        """Record the start time of a read of the store and the revision it returned."""
        self._proofs.record_read(began_s, revision)

    def ready_configuration(
        self, now_s: float, proof_now_s: float
    ) -> Configuration | None:
        """Return the configuration in force; None if requests can't be admitted by it.

        Parameters
        ----------
        now_s, proof_now_s : float
            Present time on the monotonic clock and on the clock of `proof_time_s`.
        """
        proven = self._freshness.proven()
        configuration = proven.configuration
        if configuration is None or not self._freshness.is_fresh(proven, proof_now_s):
            return None
        if configuration.limits_customers and not self._limiter.is_ready(now_s):
            return None
        return configuration

    def refresh(self, now_s: float) -> None:
        """Update the limiter; called about once a second."""
        self._limiter.refresh(now_s)

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks, each to be run in its own thread until `stop` is called."""
        if not self._freshness.requires_proof:
            return []
        return [self._proofs.run_reads, self._proofs.run_questions]

    def stop(self) -> None:
        """Make the tasks end soon."""
        self._proofs.stop()
