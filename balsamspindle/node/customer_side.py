"""The part of a node that decides on customers' requests."""

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
from balsamspindle.requests.links import Link, LinkPool
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.process import NodeSettings
from balsamspindle.timeline import EventLog
from balsamspindle.wire import NodeRecord
from balsamspindle.wire.limit_messages import LimitQuestion, LimitReturn, LimitTold

__all__ = ["CustomerSide"]


# How long a node may take to grant a request; some round trips within a zone.
ASK_TIMEOUT_S = 0.25


class PooledLimitLinks:
    """Asks over the links that attempts use, too.

    Parameters
    ----------
    links : LinkPool
    """

    def __init__(self, links: LinkPool) -> None:
        self._links = links

    def ask(self, node: NodeRecord, question: LimitQuestion) -> LimitTold | None:
        """See `balsamspindle.customers.limits.LimitLinks`."""
        link = self._take(node)
        if link is None:
            return None
        told = link.ask(question, time.monotonic() + ASK_TIMEOUT_S)
        if told is None:
            link.close()
        else:
            self._links.release(link)
        return told

    def send(self, node: NodeRecord, message: LimitReturn) -> None:
        """See `balsamspindle.customers.limits.LimitLinks`."""
        link = self._take(node)
        if link is not None:
            link.send(message)
            self._links.release(link)

    def _take(self, node: NodeRecord) -> Link | None:
        # One more question does no harm, so an idle link need not be asked first.
        deadline_s = time.monotonic() + ASK_TIMEOUT_S
        return self._links.acquire(node.link_address, deadline_s, Execution.IDEMPOTENT)


class CustomerSide:
    """Customers at one node: the admission of their requests, and what it needs.

    Parameters
    ----------
    prove : callable
        Has the store read for the newest revision.

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
        prove: Callable[[], None],
        links: LinkPool,
        link_server: LinkServer,
    ) -> None:
        self._configuration = configuration
        self._freshness = Freshness(settings.key_proof_max_age_s)
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
            configuration,
            events,
            prove,
            member.send,
        )
        member.register(
            {
                ProofQuestion: self._proofs.answer_question,
                ProofAnswer: self._proofs.receive_answer,
            }
        )

    def record_read(self, began_s: float, revision: int) -> None:
        """Take the revision that a read of the store showed."""
        self._proofs.record_read(began_s, revision)

    def is_ready(self, now_s: float) -> bool:
        """Tell whether customers are served."""
        configuration = self._configuration.get()
        if configuration is None:
            return False
        if configuration.limits_customers and not self._limiter.is_ready(now_s):
            return False
        return self._freshness.is_fresh(configuration.revision, now_s)

    def refresh(self, now_s: float) -> None:
        """Do what is due about once a second."""
        self._limiter.refresh(now_s)

    def tasks(self) -> list[Callable[[], None]]:
        """Return what has to run until `stop` is called."""
        if not self._freshness.requires_proof:
            return []
        return [self._proofs.run_reads, self._proofs.run_questions]

    def stop(self) -> None:
        """End the tasks soon."""
        self._proofs.stop()
