"""``balsamspindle-standin-platform``: an in-memory platform for tests."""

import threading

import typer
from werkzeug.serving import WSGIRequestHandler, make_server

from balsamspindle.cli.program import (
    VERSION_OPTION,
    make_app,
    split_address,
    stop_on_signals,
)
from balsamspindle.standins.platform import StandinPlatform

app = make_app("Run a stand-in for the platform (tests and the demo only).")


class _UnloggedHandler(WSGIRequestHandler):
    def log(self, *_args):
        """Discard the log lines of requests."""


@app.command()
def run(
    address: str = typer.Option("127.0.0.1:9000", help="IP:port to listen on."),
    version: bool = VERSION_OPTION,
) -> None:
    """Run the stand-in until SIGTERM.

    Example: balsamspindle-standin-platform --address 127.0.0.1:9000
    """
    host, port = split_address(address)
    server = make_server(
        host, port, StandinPlatform(), threaded=True, request_handler=_UnloggedHandler
    )
    stop_on_signals(lambda: threading.Thread(target=server.shutdown).start())
    server.serve_forever()


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
