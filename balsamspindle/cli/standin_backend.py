"""``balsamspindle-standin-backend``: a backend server for tests, with faults."""

import threading
import time
import uuid

import typer

from balsamspindle.cli.program import (
    VERSION_OPTION,
    make_app,
    split_address,
    stop_on_signals,
)
from balsamspindle.standins.backend_server import Announcer, StandinBackendServer

FINISH_TIMEOUT_S = 30.0
IDLE_S = 0.5
POLL_S = 0.02

app = make_app("Run a stand-in backend server (tests and the demo only).")


@app.command()
def run(
    name: str = typer.Option(..., help="Id of the backend server."),
    address: str = typer.Option(..., help="IP:port to listen on."),
    service: str = typer.Option(..., help="Service, as TEAM/NAME."),
    node_admin: str = typer.Option(..., help="Admin address of the node beside it."),
    slots: int = typer.Option(
        6, help="Slots: number of requests that may run at the same time."
    ),
    work_ms: float = typer.Option(
        0.0, help="Duration of the work for a request, in milliseconds."
    ),
    version: bool = VERSION_OPTION,
) -> None:
    """Run the stand-in until SIGTERM, then drain it and exit.

    Example: balsamspindle-standin-backend --name contract-1
    --address 127.0.0.1:9001 --service crew/contracts
    --node-admin 127.0.0.1:8083
    """
    server = StandinBackendServer(split_address(address), name, work_ms / 1000)
    announcement = {
        "service": service,
        "address": address,
        "slots": slots,
        "boot_id": uuid.uuid4().hex,
    }
    announcer = Announcer(node_admin, name, announcement)
    threading.Thread(target=announcer.run, daemon=True).start()

    def leave() -> None:
        announcer.leave()
        _wait_until_idle(server)
        server.shutdown()

    stop_on_signals(lambda: threading.Thread(target=leave).start())
    server.serve_forever(poll_interval=0.05)


def _wait_until_idle(server: StandinBackendServer) -> None:
    """Wait until no request has run for `IDLE_S`, for at most `FINISH_TIMEOUT_S`.

    A request that the gate dispatched just before the drain may not have arrived yet,
    so the absence of running requests is not enough.
    """
    deadline_s = time.monotonic() + FINISH_TIMEOUT_S
    idle_since_s = time.monotonic()
    while idle_since_s + IDLE_S > time.monotonic() < deadline_s:
        time.sleep(POLL_S)
        if server.running:
            idle_since_s = time.monotonic()


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
