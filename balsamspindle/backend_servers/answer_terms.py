"""Takes the terms of backend servers from their answers, and logs changes."""

import time
from collections.abc import Sequence

from balsamspindle.backend_servers.answers import BackendAnswer, BackendFailure
from balsamspindle.backend_servers.evidence import WorkResult
from balsamspindle.backend_servers.servers import (
    LocalBackendServer,
    LocalBackendServers,
)
from balsamspindle.backend_servers.terms_table import (
    AnswerTiming,
    TermsChange,
    TermsTable,
)
from balsamspindle.backend_servers.work_ends import work_result
from balsamspindle.protocol.announced_terms import read_announced_terms
from balsamspindle.protocol.header_names import HeaderNames
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.timeline import EventLog
from balsamspindle.wire import Dispatch

__all__ = ["AnswerTerms"]


class AnswerTerms:
    """Records terms from answers, and those that ingresses send with attempts."""

    def __init__(
        self,
        servers: LocalBackendServers,
        table: TermsTable,
        events: EventLog,
        names: HeaderNames,
    ) -> None:
        self._servers = servers
        self._table = table
        self._events = events
        self._names = names

    def record(
        self,
        server: LocalBackendServer,
        headers: Sequence[tuple[str, str]],
        result: BackendAnswer | BackendFailure,
        sent_s: float,
        is_probe: bool = False,
    ) -> None:
        """Record what a backend server announced in the headers of an answer.

        Parameters
        ----------
        headers : sequence of (str, str)
            Headers of the answer; empty if there was no answer.
        result : BackendAnswer or BackendFailure
            The call's result, as `refusals.classify_result` returns it.
        sent_s : float
            When the request was sent, or earlier.
        is_probe : bool
            Whether the request was a status check; see `AnswerTiming`.
        """
        is_other_server = (
            isinstance(result, BackendFailure)
            and result.reason is Reason.NO_BACKEND_SERVER
        )
        has_answer = bool(headers) or isinstance(result, BackendAnswer)
        if not has_answer or is_other_server or server.has_restarted:
            return
        server_id = server.backend_server_id
        announced = read_announced_terms(headers, self._names)
        if announced.unreadable:
            self._events.emit(
                "backend_server_terms_unreadable",
                backend_server=server_id,
                value=", ".join(announced.unreadable),
            )
        timing = AnswerTiming(
            sent_s,
            time.monotonic(),
            may_end_limit=work_result(result) is WorkResult.ANSWERED,
            is_status_check=is_probe,
        )
        boot_id = server.announcement.boot_id
        self._log(
            server_id,
            self._table.record_answer(server_id, boot_id, announced, timing),
            "status_check" if is_probe else "answer",
        )

    def adopt(self, dispatch: Dispatch, now_s: float) -> None:
        """Record the terms that an attempt's ingress knows of its backend server."""
        if dispatch.terms is None:
            return
        server_id = dispatch.backend_server_id
        with self._servers.changed:
            server = self._servers.get(server_id)
            is_current = (
                server is not None
                and server.announcement.boot_id == dispatch.terms.boot_id
            )
        if is_current:
            change = self._table.adopt(server_id, dispatch.terms, now_s)
            self._log(server_id, change, "ingress")

    def _log(self, server_id: str, change: TermsChange | None, source: str) -> None:
        if change is None:
            return
        self._events.emit(
            "backend_server_terms",
            backend_server=server_id,
            limit_per_s=change.current.limit_per_s,
            previous_per_s=change.previous.limit_per_s,
            is_leaving=change.current.is_leaving or None,
            source=source,
        )
