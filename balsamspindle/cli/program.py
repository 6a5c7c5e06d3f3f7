"""Options, error reporting and signal handling that all programs share."""

import signal
import sys
from collections.abc import Callable
from typing import NoReturn

import typer

from balsamspindle import __version__
from balsamspindle.cli.exit_status import ExitStatus

__all__ = [
    "JSON_OPTION",
    "NODES_OPTION",
    "VERSION_OPTION",
    "fail",
    "make_app",
    "split_address",
    "stop_on_signals",
    "warn",
]


def _show_version(wanted: bool) -> None:
    if wanted:
        typer.echo(__version__)
        raise typer.Exit(ExitStatus.DONE)


VERSION_OPTION = typer.Option(
    False,
    "--version",
    callback=_show_version,
    is_eager=True,
    help="Show the version and exit.",
)
JSON_OPTION = typer.Option(False, "--json", help="Print JSON instead of text.")
NODES_OPTION = typer.Option(
    None,
    "--node",
    envvar="BALSAMSPINDLE_NODES",
    help="Admin address of a node, IP:port; may be repeated.",
)


def make_app(help_text: str) -> typer.Typer:
    """Return an application that prints its help as plain text."""
    return typer.Typer(
        help=help_text,
        add_completion=False,
        no_args_is_help=False,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
    )


def warn(message: str) -> None:
    """Print a warning on standard error."""
    typer.echo(f"warning: {message}", err=True)


def fail(message: str, status: ExitStatus = ExitStatus.FAILED) -> NoReturn:
    """Print a message on standard error and end the program."""
    typer.echo(message, err=True)
    sys.exit(status)


def split_address(address: str) -> tuple[str, int]:
    """Return IP and port; end the program if the address is malformed."""
    host, _, port = address.partition(":")
    if not host or not port.isdecimal():
        fail(f"{address!r} is not an address: expected IP:port", ExitStatus.USAGE)
    return host, int(port)


def stop_on_signals(stop: Callable[[], None]) -> None:
    """Call `stop` on SIGTERM and SIGINT."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stop())
