"""``balsamspindle-node``: runs one node of the fleet."""

from pathlib import Path

import typer
import zmq
from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.cli.program import (
    VERSION_OPTION,
    fail,
    make_app,
    stop_on_signals,
)
from balsamspindle.node.process import NodeProcess
from balsamspindle.settings import load_node_settings

app = make_app("Run one node of the fleet.")


@app.command()
def run(
    settings: Path = typer.Option(..., help="JSON file with the node's settings."),
    version: bool = VERSION_OPTION,
) -> None:
    """Run one node until SIGTERM, then shut it down gracefully.

    The node waits for its running requests, up to the shutdown timeout of its settings,
    and leaves the fleet.

    Example: balsamspindle-node --settings
    examples/association/nodes/mvd-puerto-1.json
    """
    match load_node_settings(settings):
        case Result(tag="ok", ok=node_settings):
            try:
                process = NodeProcess(node_settings)
            except (OSError, zmq.ZMQError) as error:
                fail(f"{settings}: cannot listen: {error}", ExitStatus.FAILED)
            stop_on_signals(process.stop)
            process.run()
        case Result(error=error):
            fail(error.message, ExitStatus.USAGE)


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
