"""Admits or refuses requests by their heads, before their bodies are read.

Bodies may be large or arrive slowly, so the body of a refused request is not read. A
refused request does not count against its customer's limit.
"""

from balsamspindle.customers import Admitted, CustomerAdmission, Refused
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.configuration import CurrentConfiguration
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.routes import MethodNotAllowed

__all__ = ["Admissions"]


class Admissions:
    """Admits or refuses the requests of one node's callers.

    Parameters
    ----------
    customers : CustomerAdmission
    """

    def __init__(
        self, configuration: CurrentConfiguration, customers: CustomerAdmission
    ) -> None:
        self._configuration = configuration
        self._customers = customers

    def admit(self, request: CallerRequest, now_s: float) -> Admitted | Refused:
        """Find a request's route and customer; count it against the customer's limit.

        May block for a moment while another node is asked to grant the request.
        """
        match self._route(request):
            case RouteDocument() as route:
                return self._customers.admit(route, request.key_digest, now_s)
            case refused:
                return refused

    def refuse_on_head(self, request: CallerRequest, now_s: float) -> Refused | None:
        """Return a request's refusal before its body is read; None if it is admitted.

        An admitted request is counted against its customer's limit only later, when
        its body has arrived. If requests were counted by their heads, those counted at
        different times could all run at the same moment, when their bodies have
        arrived, and together exceed the limit.
        """
        match self.admit(request, now_s):
            case Refused() as refused:
                return refused
            case Admitted() as admitted:
                self.refund(admitted)
        return None

    def refund(self, admitted: Admitted) -> None:
        """Subtract an admitted request that did not run from its customer's count."""
        self._customers.refund(admitted)

    def _route(self, request: CallerRequest) -> RouteDocument | Refused:
        configuration = self._configuration.get()
        if configuration is None:
            return Refused(Reason.NO_SETTINGS)
        match configuration.routes.find(request.host, request.path, request.method):
            case Reason() as reason:
                return Refused(reason)
            case MethodNotAllowed(methods):
                return Refused(Reason.METHOD_NOT_ALLOWED, allow=methods)
            case route:
                return route
