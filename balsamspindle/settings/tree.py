"""The fleet's settings at one revision, checked and ready to route by."""

import threading
from collections.abc import Mapping

import msgspec
from expression import Error, Ok, Result

from balsamspindle.services.routes import RouteTable
from balsamspindle.settings.documents import (
    RouteDocument,
    ServiceDocument,
    document_type,
)
from balsamspindle.settings.validation import Fault, check_documents

__all__ = ["Configuration", "CurrentConfiguration", "Fault", "check_documents"]


class Configuration:
    """All settings at one revision; never changed after it is made.

    Attributes
    ----------
    revision : int
        Rises by one with each accepted change of the fleet's settings.
    documents : dict of str to bytes
        Path to JSON, as they travel.
    services : dict of str to ServiceDocument
        ``TEAM/NAME`` to its document.
    routes : RouteTable
    """

    def __init__(self, revision: int, documents: Mapping[str, bytes]) -> None:
        self.revision = revision
        self.documents = dict(documents)
        self.services: dict[str, ServiceDocument] = {}
        routes: list[RouteDocument] = []
        for path, document in self.documents.items():
            kind = document_type(path)
            team, _, name = path.split("/")
            match msgspec.json.decode(document, type=kind):
                case ServiceDocument() as service:
                    self.services[f"{team}/{name}"] = service
                case RouteDocument() as route:
                    routes.append(route)
        self.routes = RouteTable(routes)


class CurrentConfiguration:
    """The configuration in force at this node; its revision only rises."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._configuration: Configuration | None = None

    def get(self) -> Configuration | None:
        """Return the configuration in force, or None before the first."""
        return self._configuration

    @property
    def revision(self) -> int:
        """Revision in force; -1 before the first."""
        configuration = self._configuration
        return -1 if configuration is None else configuration.revision

    def offer(
        self, revision: int, documents: Mapping[str, bytes]
    ) -> Result[bool, list[Fault]]:
        """Put settings in force unless the node has as new ones.

        Returns
        -------
        Result of bool
            True when they are in force now, False when they were too old.
        """
        if revision <= self.revision:
            return Ok(False)
        faults = check_documents(documents)
        if faults:
            return Error(faults)
        configuration = Configuration(revision, documents)
        with self._lock:
            # Two sources (a peer and the platform) may offer at once. Without
            # this second look the slower, older one would win and a node
            # would go back to an older revision.
            if revision <= self.revision:
                return Ok(False)
            self._configuration = configuration
        return Ok(True)
