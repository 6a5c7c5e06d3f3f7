"""``balsamspindle-standin-backend``: a backend server with fault switches."""

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
QUIET_S = 0.5
POLL_S = 0.02

app = make_app("Run a stand-in backend server (tests and the demo only).")


@app.command()
def run(
    name: str = typer.Option(..., help="Id of the backend server."),
    address: str = typer.Option(..., help="IP:port to listen on."),
    service: str = typer.Option(..., help="Service, as TEAM/NAME."),
    node_admin: str = typer.Option(..., help="Admin address of the node beside it."),
    slots: int = typer.Option(6, help="Requests that it runs at once."),
    work_ms: float = typer.Option(0.0, help="Time that a request takes."),
    version: bool = VERSION_OPTION,
) -> None:
    """Run the stand-in until SIGTERM, then drain and leave.

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
        _finish_work(server)
        server.shutdown()

    stop_on_signals(lambda: threading.Thread(target=leave).start())
    server.serve_forever(poll_interval=0.05)


def _finish_work(server: StandinBackendServer) -> None:
    """Wait until nothing was running for a while.

    An attempt that the gate admitted just before the drain may still be on
    its way here.
    """
    give_up_s = time.monotonic() + FINISH_TIMEOUT_S
    quiet_since_s = time.monotonic()
    while quiet_since_s + QUIET_S > time.monotonic() < give_up_s:
        time.sleep(POLL_S)
        if server.running:
            quiet_since_s = time.monotonic()


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
