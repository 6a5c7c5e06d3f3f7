"""Runs one node on the users' platform, as `balsamspindle.platform` says."""

import os
import signal
import sys
import threading
from pathlib import Path

from expression import Result

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.node.integration import Integration
from balsamspindle.node.process import NodeProcess
from balsamspindle.platform.announcements import (
    AnnouncementApplication,
    ReadinessApplication,
)
from balsamspindle.platform.configuration import operator_row, service_name
from balsamspindle.platform.settings import MachineSettings, load_machine_settings

__all__ = ["SETTINGS_VARIABLE", "main"]

# Time before SIGKILL that is reserved for writing the last lines of the log.
EXIT_RESERVE_S = 0.2

SETTINGS_VARIABLE = "BALSAMSPINDLE_SETTINGS"


def main() -> ExitStatus:
    """Run one node until SIGTERM."""
    path = os.environ.get(SETTINGS_VARIABLE)
    if path is None:
        print(f"set {SETTINGS_VARIABLE} to the path of a settings file")
        return ExitStatus.USAGE
    match load_machine_settings(Path(path)):
        case Result(tag="ok", ok=machine):
            pass
        case Result(error=error):
            print(error.message)
            return ExitStatus.USAGE
    process = NodeProcess(
        machine.node,
        Integration(operator_row(machine.retries, machine.contracts), sys.stdout),
    )
    process.serve(
        machine.announcement_address, _announcement_application(process, machine)
    )
    process.serve(machine.ready_address, ReadinessApplication(process.is_ready))
    signal.signal(signal.SIGTERM, lambda *_: _shut_down(process, machine.grace_s))
    signal.signal(signal.SIGHUP, lambda *_: process.reload())
    process.watch_settings(Path(path), _load_node_settings)
    process.run()
    process.events.flush()
    # sys.exit would wait for threads that are still blocked on a caller.
    os._exit(ExitStatus.DONE)


def _announcement_application(
    process: NodeProcess, machine: MachineSettings
) -> AnnouncementApplication:
    """Return the application that receives the backend server's announcements.

    The service in the node's own settings is accepted at any time: the backend
    server may start before the configuration that first names its service arrives.
    """
    own_service = service_name(machine.node.caller_service)
    return AnnouncementApplication(
        process.lifetimes,
        process.drains,
        lambda service: service == own_service or process.may_be_defined(service),
        lambda cause: process.events.emit("announcement_ignored", cause=cause),
    )


def _shut_down(process: NodeProcess, grace_s: float) -> None:
    """Start a graceful shutdown, and a timer that ends it before SIGKILL.

    A connection that neither end closes would block the graceful shutdown. The timer
    writes the last lines of the log, which say what blocked the shutdown, and ends the
    process. SIGKILL would lose these lines.
    """
    process.stop()
    timer = threading.Timer(grace_s - EXIT_RESERVE_S, _force_exit, [process])
    timer.daemon = True
    timer.start()


def _force_exit(process: NodeProcess) -> None:
    process.events.emit("shutdown_cut_short")
    process.events.flush()
    os._exit(ExitStatus.FAILED)


def _load_node_settings(path: Path):
    return load_machine_settings(path).map(lambda machine: machine.node)
