"""WSGI applications for announcements of backend servers and for readiness checks.

The backend server beside the node announces here that it is ready, drains or
leaves. The gate applies an announcement before the announcement is acknowledged. That a
backend server drains or leaves is acknowledged only once something besides this process
keeps it: this process may be killed, and its successor must know it. A drain or a leave
that is ignored, because a later start is in use, is not acknowledged.
"""

import re
import time
from collections.abc import Callable
from typing import Literal

import msgspec
from werkzeug.exceptions import BadRequest, HTTPException, ServiceUnavailable
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from balsamspindle.backend_servers.lifetimes import AnnouncedStatus, Lifetimes
from balsamspindle.backend_servers.servers import Announcement
from balsamspindle.drains import OwnDrains
from balsamspindle.platform.configuration import service_name
from balsamspindle.platform.values import PlatformFormatError, parse_duration_ms
from balsamspindle.protocol.decoding import InputError, JsonDecoder, convert_input
from balsamspindle.wire.member_messages import Count

__all__ = [
    "BODY_MAX_BYTES",
    "BORN_AHEAD_MAX_MS",
    "AnnouncementApplication",
    "ReadinessApplication",
    "check_born",
]

# An announcement has some hundred bytes.
BODY_MAX_BYTES = 64 * 1024
# The backend server reads the clock of the node's VM. The clock may have been set back
# since the start, so a start may lie ahead of it. With a shorter limit, the
# announcements of a running backend server would be rejected after such a step.
BORN_AHEAD_MAX_MS = 3_600_000
# The id is sent to the backend server in a header, and to all peers.
_is_server_id = re.compile(r"[!-~]{1,200}").fullmatch

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
    """The fields of an announcement that can differ in the next announcement.

    Attributes
    ----------
    sequence : int
        Increases with each announcement until the backend server restarts.
    cold_remaining : str
        Time until the backend server reaches its full speed after its start.
    """

    state: Literal["ready", "draining"]
    sequence: Count
    cold_remaining: str = "0ms"


class _Announcement(msgspec.Struct):
    """The body of an announcement.

    Attributes
    ----------
    born : int
        When the backend server started, in Unix milliseconds; 0 if unknown.
        A later time under the same id means that the backend server restarted.
    """

    address: str
    info: _Info
    status: _Status
    born: Count = 0


class _LeaveBody(msgspec.Struct):
    """The body of a call by which a backend server leaves; the body may be empty."""

    born: Count = 0


_announcement_decoder = JsonDecoder(_Announcement)
_leave_decoder = JsonDecoder(_LeaveBody)


class _Request(Request):
    max_content_length = BODY_MAX_BYTES


class AnnouncementApplication:
    """The WSGI application that backend servers announce themselves to.

    Any process on the VM may call it. If a body does not match the schema, all of its
    fields are ignored. If some fields were used, requests could be sent to an address
    without a backend server, or the running backend server could be replaced.

    Parameters
    ----------
    drains : OwnDrains
        Keeps what is acknowledged.
    is_service_allowed : callable
        Takes a service's name; returns whether backend servers of this service may
        announce themselves. Announcements of other services are ignored. A node allows
        the services that the settings in force define. It also allows the service in
        the node's own settings. While no settings are in force, it allows all services.
    on_ignored : callable
        Called with the reason why an announcement was ignored.
    """

    def __init__(
        self,
        lifetimes: Lifetimes,
        drains: OwnDrains,
        is_service_allowed: Callable[[str], bool] = lambda service: True,
        on_ignored: Callable[[str], None] = lambda cause: None,
    ) -> None:
        self._lifetimes = lifetimes
        self._drains = drains
        self._is_service_allowed = is_service_allowed
        self._on_ignored = on_ignored

    def __call__(self, environ, start_response):
        """Answer one call."""
        request = _Request(environ)
        try:
            endpoint, arguments = _URLS.bind_to_environ(environ).match()
            _check_server_id(arguments["server_id"])
            getattr(self, f"_{endpoint}")(request, **arguments)
            response = Response("{}", mimetype="application/json")
        except HTTPException as error:
            response = error
        except InputError as error:
            self._on_ignored(str(error))
            response = BadRequest(str(error))
        return response(environ, start_response)

    def _announce(self, request, server_id):
        body = _announcement_decoder.decode(request.get_data())
        check_born(body.born, time.time() * 1000)
        service = service_name(body.info.service)
        if not self._is_service_allowed(service):
            raise PlatformFormatError(f"no settings define {body.info.service!r}")
        announcement = convert_input(
            {
                "service": service,
                "address": body.address,
                "slots": body.info.slots,
                "boot_id": server_id,
            },
            Announcement,
        )
        status = AnnouncedStatus(
            body.status.sequence,
            body.status.state == "draining",
            parse_duration_ms(body.status.cold_remaining) / 1000,
            body.born,
        )
        if not self._drains.wait_restored():
            raise ServiceUnavailable("the earlier process's drains are not known yet")
        self._lifetimes.announce(server_id, announcement, status, time.monotonic())
        if status.is_draining:
            self._keep_drain(server_id)

    def _leave(self, request, server_id):
        received_unix_ms = time.time_ns() // 1_000_000
        data = request.get_data()
        body = _leave_decoder.decode(data) if data else _LeaveBody()
        check_born(body.born, time.time() * 1000)
        self._drains.wait_restored()
        self._lifetimes.record_leave(
            server_id,
            start_unix_ms=body.born,
            received_unix_ms=received_unix_ms,
            now_s=time.monotonic(),
        )
        self._keep_drain(server_id)

    def _keep_drain(self, server_id: str) -> None:
        drained = self._lifetimes.drained(server_id)
        if drained is None:
            raise ServiceUnavailable("a later start of the backend server is in use")
        if not self._drains.add(drained):
            raise ServiceUnavailable("neither the store nor a peer keeps the drain")


def check_born(born_unix_ms: int, now_unix_ms: float) -> None:
    """Reject a start that lies so far ahead of the VM's clock that it can't be one.

    All real starts of the backend server would count as earlier ones.

    Raises
    ------
    PlatformFormatError
    """
    ahead_ms = born_unix_ms - now_unix_ms
    if ahead_ms > BORN_AHEAD_MAX_MS:
        raise PlatformFormatError(
            f"born {born_unix_ms} is {ahead_ms:.0f} ms ahead of the clock:"
            f" expected at most {BORN_AHEAD_MAX_MS}"
        )


def _check_server_id(server_id: str) -> None:
    if not _is_server_id(server_id):
        raise PlatformFormatError(
            f"invalid id {server_id!r}: expected 1 to 200 visible ASCII characters"
        )


class ReadinessApplication:
    """The WSGI application that answers 200 when the node accepts callers, else 503."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def __call__(self, environ, start_response):
        """Answer one call."""
        response = Response("", status=200 if self._is_ready() else 503)
        return response(environ, start_response)
