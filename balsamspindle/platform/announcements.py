"""Two small servers that the platform calls: announcements and readiness.

The backend server beside the node says here that it lives, drains or leaves.
What was acknowledged binds the gate from that moment on.
"""

import time
from collections.abc import Callable
from typing import Annotated, Literal

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.backend_servers.lifetimes import AnnouncedStatus, Lifetimes
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

    state: Literal["ready", "draining"]
    sequence: Annotated[int, msgspec.Meta(ge=0)]
    cold_remaining: str = "0ms"


class _Announcement(msgspec.Struct):
    """One announcement.

    Attributes
    ----------
    born : int
        When the backend server started, in Unix milliseconds; 0 where it does
        not say. One that starts again keeps its id.
    """

    address: str
    info: _Info
    status: _Status
    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class _Leave(msgspec.Struct):
    """The body of a call that says that a backend server leaves; may be empty."""

    born: Annotated[int, msgspec.Meta(ge=0)] = 0


class AnnouncementApplication:
    """The WSGI application that backend servers announce themselves to.

    Anybody on the VM may call it. What is not written as agreed names no backend
    server: taken in part, it would put an address into service that is none,
    or take the place of the living one.

    Parameters
    ----------
    knows_service : callable
        Tells whether a service may be in the settings in force; True as long
        as there are none.
    on_foreign : callable
        Told why an announcement was not taken.
    """

    def __init__(
        self,
        lifetimes: Lifetimes,
        knows_service: Callable[[str], bool] = lambda service: True,
        on_foreign: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._lifetimes = lifetimes
        self._knows_service = knows_service
        self._on_foreign = on_foreign

    def __call__(self, environ, start_response):
        """Answer one call."""
        request = Request(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            getattr(self, f"_{endpoint}")(request, **arguments)
            response = Response("{}", mimetype="application/json")
        except HTTPException as error:
            response = error
        except (msgspec.MsgspecError, PlatformFormatError, UnicodeError) as error:
            self._on_foreign(str(error))
            response = BadRequest(str(error))
        return response(environ, start_response)

    def _announce(self, request, server_id):
        said = msgspec.json.decode(request.get_data(), type=_Announcement)
        service = service_name(said.info.service)
        if not self._knows_service(service):
            raise PlatformFormatError(f"no settings define {said.info.service!r}")
        announcement = msgspec.convert(
            {
                "service": service,
                "address": said.address,
                "slots": said.info.slots,
                "boot_id": server_id,
            },
            Announcement,
        )
        status = AnnouncedStatus(
            said.status.sequence,
            said.status.state == "draining",
            parse_duration_ms(said.status.cold_remaining) / 1000,
            said.born,
        )
        self._lifetimes.announce(server_id, announcement, status, time.monotonic())

    def _leave(self, request, server_id):
        body = request.get_data()
        said = msgspec.json.decode(body, type=_Leave) if body else _Leave()
        self._lifetimes.record_leave(server_id, start_unix_ms=said.born)


class ReadinessApplication:
    """The WSGI application that tells whether callers may be sent here."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Answer one call."""
        response = Response("", status=200 if self._is_ready() else 503)
        return response(environ, start_response)
