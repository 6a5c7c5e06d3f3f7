"""Fixtures of the settings tests: node records and an in-process platform."""

import threading

from werkzeug.serving import WSGIRequestHandler, make_server

from balsamspindle.platform.store import HttpTableService
from balsamspindle.standins.platform import StandinPlatform
from balsamspindle.wire import NodeRecord
from tests.utils import free_address

ZONES = 23


def node_record(number: int, zones: int = ZONES) -> NodeRecord:
    """Return the record of a simulated node."""
    zone = number % zones
    address = f"n{number}"
    return NodeRecord(
        f"node-{number}", 1, 0, f"region-{zone % 7}", f"zone-{zone}", "", address, ""
    )


class _QuietHandler(WSGIRequestHandler):
    def log(self, *_args):
        pass


class PlatformServer:
    """A stand-in platform that serves HTTP in a thread of this process."""

    def __init__(self, seed: int = 0) -> None:
        self.standin = StandinPlatform(seed)
        self.address = free_address()
        host, _, port = self.address.partition(":")
        self._server = make_server(
            host, int(port), self.standin, threaded=True, request_handler=_QuietHandler
        )
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def tables(self) -> HttpTableService:
        """Return a new client of the platform's tables; each operator needs its own."""
        return HttpTableService(self.address)

    def stop(self) -> None:
        """Stop the server and close its port."""
        self._server.shutdown()
        self._server.server_close()
