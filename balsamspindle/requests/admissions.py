"""Admits or refuses requests by their heads, before their bodies are read.

Bodies may be large or arrive slowly, so the body of a refused request is not read.
Refused requests do not count against their customers' limits.
"""

from balsamspindle.customers import Admitted, CustomerAdmission, KeyCheck, Refused
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.http import CallerRequest
from balsamspindle.requests.request_log import RequestLog
from balsamspindle.settings.configuration import Configuration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.routes import MethodNotAllowed

__all__ = ["Admissions"]


class Admissions:
    """Admits or refuses the requests of one node's callers.

    The present time is given on the clock of `proof_time_s`.

    Parameters
    ----------
    customers : CustomerAdmission
    log : RequestLog
    """

    def __init__(
        self,
        customers: CustomerAdmission,
        log: RequestLog,
    ) -> None:
        self._customers = customers
        self._log = log

    def admit(
        self, request: CallerRequest, request_id: str, now_s: float
    ) -> Admitted | Refused:
        """Admit a request and count it against its customer's limit, or refuse it.

        This method may block for a moment while it requests a grant from another node.
        """
        decision = self._decide(request, now_s)
        match decision:
            case Admitted(key_check=KeyCheck() as key_check):
                self._log.key_accepted(request_id, key_check)
        return decision

    def refuse_on_head(self, request: CallerRequest, now_s: float) -> Refused | None:
        """Return why a request is refused before its body is read; None if it is not.

        This method does not count the request against its customer's limit. The ingress
        calls `admit` when the body has arrived. If requests were counted when their
        heads arrive, the bodies of many counted requests could arrive at the same time.
        These requests would then run at the same time and together exceed the limit.
        """
        match self._decide(request, now_s):
            case Refused() as refused:
                return refused
            case Admitted() as admitted:
                self.refund(admitted)
        return None

    def refund(self, admitted: Admitted) -> None:
        """Subtract an admitted request that did not run from its customer's count."""
        self._customers.refund(admitted)

    def _decide(self, request: CallerRequest, now_s: float) -> Admitted | Refused:
        """Determine a request's route, then its customer, in one configuration."""
        proven = self._customers.proven()
        match _route(proven.configuration, request):
            case RouteDocument() as route:
                decision = self._customers.admit(
                    proven, route, request.key_digest, now_s
                )
            case refused:
                decision = refused
        return decision._replace(revision=proven.revision)


def _route(
    configuration: Configuration | None, request: CallerRequest
) -> RouteDocument | Refused:
    if configuration is None:
        return Refused(Reason.NO_SETTINGS)
    match configuration.routes.find(request.host, request.path, request.method):
        case Reason() as reason:
            return Refused(reason)
        case MethodNotAllowed(methods):
            return Refused(Reason.METHOD_NOT_ALLOWED, allow=methods)
        case route:
            return route
