"""The documentation names only what exists and covers all that operators need."""

import ast
import re

import msgspec
import typer
from testtools import TestCase

from balsamspindle.cli import ctl, timeline
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.metrics import Hop, Metrics
from balsamspindle.metrics.exposition import prometheus_text
from balsamspindle.protocol import CancelCause
from balsamspindle.settings import NodeSettings, RouteDocument, ServiceDocument
from tests.utils import ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text()
OPERATIONS = (ROOT / "docs" / "OPERATIONS.md").read_text()
GUARANTEES = (ROOT / "docs" / "GUARANTEES.md").read_text()


def field_names(kind: type, prefix: str = "") -> list[str]:
    names = []
    for field in msgspec.structs.fields(kind):
        name = f"{prefix}{field.encode_name}"
        nested = isinstance(field.type, type) and issubclass(field.type, msgspec.Struct)
        names += field_names(field.type, f"{name}.") if nested else [name]
    return names


def metrics_text() -> str:
    metrics = Metrics()
    metrics.count_outcome("crew/contracts", "answered")
    metrics.count_event("node_started")
    metrics.count_cut("node_leaving")
    return prometheus_text(metrics.report()).decode()


def events_of_row(row: str) -> set[str]:
    """Return the events that a table row names.

    A name that begins with `_` replaces the last word of the row's first name: after
    `link_opened`, `_closed` stands for `link_closed`.
    """
    first, events = "", set()
    for name in re.findall(r"`([a-z_]+)`", row):
        if name.startswith("_"):
            name = first.rsplit("_", 1)[0] + name
        first = first or name
        events.add(name)
    return events


def emitted_events() -> set[str]:
    """Return the names that are passed to `emit` and `_emit` as constants."""
    events = set()
    for path in (ROOT / "balsamspindle").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            is_call = isinstance(node, ast.Call) and node.args
            if is_call and getattr(node.func, "attr", "") in ("emit", "_emit"):
                names = ast.walk(node.args[0])
                events |= {one.value for one in names if isinstance(one, ast.Constant)}
    return events


class PagesTests(TestCase):
    def test_each_field_of_the_settings_is_described(self):
        for kind in (NodeSettings, ServiceDocument, RouteDocument):
            for name in field_names(kind):
                self.assertIn(f"`{name}`", OPERATORS, kind)

    def test_identifiers_in_the_operators_page_exist_in_the_code(self):
        source = "".join(
            path.read_text() for path in (ROOT / "balsamspindle").rglob("*.py")
        )
        # The metrics library adds suffixes to the names in the source.
        source += metrics_text()
        for word in re.findall(r"`([a-z]+(?:_[a-z]+)+)`", OPERATORS):
            self.assertIn(word, source)

    def test_each_metric_and_hop_is_described(self):
        for name in re.findall(r"# TYPE (\S+)", metrics_text()):
            self.assertIn(f"`{name}`", OPERATORS)
        for hop in Hop:
            self.assertIn(f"| `{hop}` |", OPERATORS)

    def test_each_event_is_described(self):
        # Operators look up the events of the nodes' event logs in OPERATIONS.md. The
        # stand-ins and the load tool have no event log, so only the package is
        # searched.
        described = set()
        for row in re.findall(r"^\| (`[^|]+)\|", OPERATIONS, re.MULTILINE):
            described |= events_of_row(row)
        self.assertEqual(set(), emitted_events() - described)

    def test_each_cause_of_a_cut_run_is_described(self):
        for cause in CancelCause:
            self.assertIn(f"`{cause}`", OPERATIONS)

    def test_each_exit_status_is_described(self):
        for status in ExitStatus:
            self.assertIn(f"| {status.value} | `{status.name}` |", OPERATORS)

    def test_each_test_that_the_guarantees_name_exists(self):
        tests = ROOT / "tests"
        source = "".join(path.read_text() for path in tests.glob("test_*.py"))
        known = {path.stem for path in tests.glob("test_*.py")}
        known.update(re.findall(r"(?:def|class) (\w+)", source))
        words = re.findall(r"`(?:tests/)?(test_\w+|\w+Tests)(?:\.py)?`", GUARANTEES)
        self.assertGreater(len(words), 50)
        self.assertEqual(set(), set(words) - known)

    def test_commands_and_options_of_the_pages_exist(self):
        tool = typer.main.get_command(ctl.app)
        for page in PAGES:
            for words in re.findall(r"balsamspindle-ctl ([^`\n]*)", page.read_text()):
                self.check_command(tool, words.split())
        command = typer.main.get_command(timeline.app)
        for page in PAGES:
            found = re.findall(r"balsamspindle-timeline ([^`\n]*)", page.read_text())
            for words in found:
                self.check_options(command, words.split())

    def check_command(self, command, words: list[str]) -> None:
        """Find the command that the words name and check its options."""
        words = list(words)
        while hasattr(command, "commands") and words:
            self.assertIn(words[0], command.commands)
            command = command.commands[words.pop(0)]
        self.check_options(command, words)

    def check_options(self, command, words: list[str]) -> None:
        options = {name for p in command.params for name in p.opts + p.secondary_opts}
        for word in words:
            if word.startswith("--"):
                self.assertIn(word.rstrip(".,;"), options)

    def test_links_between_pages_have_targets(self):
        for page in PAGES:
            for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
                if "://" not in target:
                    self.assertTrue((page.parent / target).exists(), target)
