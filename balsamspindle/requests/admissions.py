"""Whether a request may run, and for whom, as its head tells.

Load: callers with large bodies, and callers who send them slowly. What is refused is
refused before its body is read, and costs its customer nothing.
"""

from balsamspindle.customers import Admitted, CustomerGate, Refused
from balsamspindle.protocol.outcomes import Reason
from balsamspindle.requests.http import CallerRequest
from balsamspindle.settings.documents import RouteDocument
from balsamspindle.settings.routes import MethodNotAllowed
from balsamspindle.settings.tree import CurrentConfiguration

__all__ = ["Admissions"]


class Admissions:
    """Decides on the requests of one node's callers.

    Parameters
    ----------
    customers : CustomerGate
    """

    def __init__(
        self, configuration: CurrentConfiguration, customers: CustomerGate
    ) -> None:
        self._configuration = configuration
        self._customers = customers

    def decide(self, request: CallerRequest, now_s: float) -> Admitted | Refused:
        """Find the route and the customer; take one request of its limit.

        It may wait a moment for the node that grants the customer's requests.
        """
        match self._route(request):
            case RouteDocument() as route:
                return self._customers.admit(route, request.key_digest, now_s)
            case refused:
                return refused

    def refuse_on_head(self, request: CallerRequest, now_s: float) -> Refused | None:
        """Return why a request whose body is yet to come won't run; None if it may.

        Nothing is kept of its customer's limit: held for as long as bodies take, many
        requests could run within a moment of each other after that.
        """
        match self.decide(request, now_s):
            case Refused() as refused:
                return refused
            case Admitted() as admitted:
                self.give_back(admitted)
        return None

    def give_back(self, admitted: Admitted) -> None:
        """Take note that a request did not run: it does not count."""
        self._customers.give_back(admitted)

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
