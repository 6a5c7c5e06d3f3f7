"""HTTP interface of the admin address: announcements, drain, status, explanations.

::

    curl -X PUT  ADMIN/backend-servers/ID -d '{"service": "crew/contracts",
         "address": "127.0.0.1:9001", "slots": 6, "boot_id": "1"}'
    curl -X POST ADMIN/backend-servers/ID/drain
    curl -X POST ADMIN/backend-servers/ID/undrain
    curl -X POST ADMIN/settings/accepted -d '{"revision": 17}'
    curl ADMIN/status
    curl ADMIN/metrics
    curl ADMIN/services/crew/contracts/explain
    curl ADMIN/events?after=0
"""

import time
from collections.abc import Callable
from itertools import islice

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException, NotFound
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.backend_servers.servers import Announcement, LocalBackendServers
from balsamspindle.node.gauges import Gauge
from balsamspindle.node.status import NodeStatus
from balsamspindle.protocol.decoding import InputError, JsonDecoder
from balsamspindle.services.explanation import ServiceExplanation
from balsamspindle.settings.documents import NAME_PATTERN
from balsamspindle.settings.results import Accepted
from balsamspindle.settings.validation import struct_faults
from balsamspindle.timeline import EventLog

__all__ = ["AdminApplication"]

_URLS = Map(
    [
        Rule("/backend-servers/<server_id>", endpoint="announce", methods=["PUT"]),
        Rule("/backend-servers/<server_id>/drain", endpoint="drain", methods=["POST"]),
        Rule(
            "/backend-servers/<server_id>/undrain", endpoint="undrain", methods=["POST"]
        ),
        Rule("/settings/accepted", endpoint="settings_accepted", methods=["POST"]),
        Rule("/status", endpoint="status", methods=["GET"]),
        Rule("/metrics", endpoint="metrics", methods=["GET"]),
        Rule(
            "/services/<team>/<name>/explain",
            endpoint="explain_service",
            methods=["GET"],
        ),
        Rule("/events", endpoint="events", methods=["GET"]),
    ]
)

EVENTS_LIMIT = 5_000
REQUEST_MAX_BYTES = 64 * 1024
# Faults of one body that its sender is told.
FAULTS_MAX = 10


_announcement_decoder = JsonDecoder(Announcement)
_accepted_decoder = JsonDecoder(Accepted)


class _AdminRequest(Request):
    max_content_length = REQUEST_MAX_BYTES


class AdminApplication:
    """The WSGI application of the admin address."""

    def __init__(
        self,
        servers: LocalBackendServers,
        status: Callable[[], NodeStatus],
        explain: Callable[[str], ServiceExplanation],
        events: EventLog,
        on_settings_accepted: Callable[[int], None] = lambda revision: None,
        gauges: Callable[[], list[Gauge]] = list,
    ) -> None:
        self._gauges = gauges
        self._servers = servers
        self._read_status = status
        self._explain = explain
        self._event_log = events
        self._on_settings_accepted = on_settings_accepted

    def __call__(self, environ, start_response):
        """Answer one request."""
        request = _AdminRequest(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            response = getattr(self, f"_{endpoint}")(request, **arguments)
        except HTTPException as error:
            response = _json({"error": error.description}, error.code)
        except InputError as error:
            response = _json({"error": str(error)}, 400)
        return response(environ, start_response)

    def _announce(self, request, server_id):
        body = request.get_data()
        try:
            announcement = _announcement_decoder.decode(body)
        except InputError as error:
            faults = islice(struct_faults(server_id, body, Announcement), FAULTS_MAX)
            described = "; ".join(map(str, faults)) or str(error)
            raise BadRequest(described) from None
        if not NAME_PATTERN.match(server_id):
            raise BadRequest(f"{server_id!r} is no name: use a-z, 0-9, '.' and '-'")
        if not self._servers.announce(server_id, announcement, time.monotonic()):
            return _json({})
        self._event_log.emit(
            "backend_server_announced",
            backend_server=server_id,
            service=announcement.service,
            boot_id=announcement.boot_id,
        )
        explanation = self._explain(announcement.service)
        if explanation.is_defined or explanation.settings_revision < 0:
            return _json({})
        # Without this note, a typo in the service's name would go unnoticed: the
        # announcement succeeds, but the backend server never gets a request.
        note = f"no settings in force define the service {announcement.service!r}"
        self._event_log.emit(
            "backend_server_without_service", backend_server=server_id, cause=note
        )
        return _json({"note": note})

    def _drain(self, request, server_id):
        if not self._servers.drain(server_id):
            raise NotFound(f"no backend server {server_id!r} is announced here")
        self._event_log.emit("backend_server_draining", backend_server=server_id)
        return _json({})

    def _undrain(self, request, server_id):
        if not self._servers.undrain(server_id):
            raise NotFound(f"no backend server {server_id!r} is announced here")
        self._event_log.emit("backend_server_ready", backend_server=server_id)
        return _json({})

    def _settings_accepted(self, request):
        """Read the settings from the store now: an operator's change was accepted."""
        accepted = _accepted_decoder.decode(request.get_data())
        self._on_settings_accepted(accepted.revision)
        return _json({})

    def _metrics(self, request):
        from balsamspindle.metrics.exposition import (
            CONTENT_TYPE_LATEST,
            prometheus_text,
        )

        text = prometheus_text(self._event_log.metrics.report(), self._gauges())
        return Response(text, content_type=CONTENT_TYPE_LATEST)

    def _status(self, request):
        return _json(self._read_status())

    def _explain_service(self, request, team, name):
        return _json(self._explain(f"{team}/{name}"))

    def _events(self, request):
        after = request.args.get("after", 0, int)
        return _json(self._event_log.recent(after, EVENTS_LIMIT))


def _json(value, status=200):
    body = msgspec.json.encode(value)
    return Response(body, status=status, mimetype="application/json")
