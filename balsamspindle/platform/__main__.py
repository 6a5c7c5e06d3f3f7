"""``python -m balsamspindle.platform``: a node beside a backend server there."""

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

# Kept of the time to SIGKILL for the last lines of the log.
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
        machine.node, Integration(operator_row(machine.retries), sys.stdout)
    )
    process.serve(machine.announcement_address, _announcements(process, machine))
    process.serve(machine.ready_address, ReadinessApplication(process.is_ready))
    signal.signal(signal.SIGTERM, lambda *_: _leave(process, machine.grace_s))
    signal.signal(signal.SIGHUP, lambda *_: process.reload())
    process.watch_settings(Path(path), _reloaded)
    process.run()
    process.events.flush()
    # A thread that still waits for a caller would hold the interpreter's end.
    os._exit(ExitStatus.DONE)


def _announcements(
    process: NodeProcess, machine: MachineSettings
) -> AnnouncementApplication:
    """Return what the backend server beside the node announces itself to.

    It may do so before the configuration that first names its service arrives.
    """
    own_service = service_name(machine.node.caller_service)
    return AnnouncementApplication(
        process.lifetimes,
        lambda service: service == own_service or process.may_define(service),
        lambda cause: process.events.emit("announcement_ignored", cause=cause),
    )


def _leave(process: NodeProcess, grace_s: float) -> None:
    """End in order, and in any case before the platform kills the process.

    A connection that neither end closes would hold the orderly end up. The
    kill would lose the last lines of the log, which say what held it up.
    """
    process.stop()
    end = threading.Timer(grace_s - EXIT_RESERVE_S, _exit, [process])
    end.daemon = True
    end.start()


def _exit(process: NodeProcess) -> None:
    process.events.emit("shutdown_cut_short")
    process.events.flush()
    os._exit(ExitStatus.FAILED)


def _reloaded(path: Path):
    return load_machine_settings(path).map(lambda machine: machine.node)


if __name__ == "__main__":
    sys.exit(main())
