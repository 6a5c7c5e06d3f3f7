"""Two small servers that the platform calls: announcements and readiness.

The backend server beside the node says here that it lives, drains or leaves.
What was acknowledged binds the gate from that moment on.
"""

import time
from collections.abc import Callable

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.backend_servers.lifetimes import Lifetimes
from balsamspindle.backend_servers.servers import Announcement
from balsamspindle.platform.configuration import service_name
from balsamspindle.platform.values import PlatformFormatError, parse_duration_ms

__all__ = ["AnnouncementApplication", "ReadinessApplication"]

_URLS = Map(
    [
        Rule("/instances/<server_id>", endpoint="announce", methods=["PUT"]),
        Rule("/instances/<server_id>", endpoint="leave", methods=["DELETE"]),
    ]
)


class _Info(msgspec.Struct):
    service: str
    slots: int
    zone: str = ""
    version: str = ""


class _Status(msgspec.Struct):
    """What changes from one announcement to the next.

    Attributes
    ----------
    sequence : int
        Rises with each announcement of one start of a backend server.
    cold_remaining : str
        How much longer it stays slow after its start.
    """

    state: str
    sequence: int
    cold_remaining: str = "0ms"


class _Announcement(msgspec.Struct):
    address: str
    info: _Info
    status: _Status


class AnnouncementApplication:
    """The WSGI application that backend servers announce themselves to."""

    def __init__(self, lifetimes: Lifetimes) -> None:
        self._lifetimes = lifetimes

    def __call__(self, environ, start_response):
        """Answer one call."""
        request = Request(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            getattr(self, f"_{endpoint}")(request, **arguments)
            response = Response("{}", mimetype="application/json")
        except HTTPException as error:
            response = error
        except (msgspec.MsgspecError, PlatformFormatError) as error:
            response = BadRequest(str(error))
        return response(environ, start_response)

    def _announce(self, request, server_id):
        said = msgspec.json.decode(request.get_data(), type=_Announcement)
        announcement = Announcement(
            service=service_name(said.info.service),
            address=said.address,
            slots=said.info.slots,
            boot_id=server_id,
        )
        self._lifetimes.announce(
            announcement,
            said.status.sequence,
            said.status.state != "ready",
            parse_duration_ms(said.status.cold_remaining) / 1000,
            time.monotonic(),
        )

    def _leave(self, _request, server_id):
        self._lifetimes.leave(server_id)


class ReadinessApplication:
    """The WSGI application that tells whether callers may be sent here."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Answer one call."""
        response = Response("", status=200 if self._is_ready() else 503)
        return response(environ, start_response)
