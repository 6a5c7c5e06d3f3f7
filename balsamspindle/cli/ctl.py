"""``balsamspindle-ctl``: the command-line tool for operators."""

from balsamspindle.cli import ctl_customers, ctl_fleet, ctl_settings, ctl_status
from balsamspindle.cli.program import VERSION_OPTION, make_app

app = make_app("Operate the fleet: show and change its settings and nodes.")
app.add_typer(ctl_settings.app, name="settings")
app.add_typer(ctl_customers.app, name="customers")
for command in (
    ctl_status.status,
    ctl_fleet.drain,
    ctl_fleet.undrain,
    ctl_fleet.explain,
):
    app.command()(command)


@app.callback()
def common(version: bool = VERSION_OPTION) -> None:
    """Operate the fleet: show and change its settings and nodes.

    Example: balsamspindle-ctl status --node 127.0.0.1:8083
    """


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
