"""The pages name what exists, and leave out nothing that an operator sets."""

import re

import msgspec
import typer
from testtools import TestCase

from balsamspindle.cli import ctl, timeline
from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.metrics import Hop, Metrics
from balsamspindle.metrics.exposition import prometheus_text
from balsamspindle.settings import NodeSettings, RouteDocument, ServiceDocument
from tests.utils import ROOT

PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").glob("*.md"))]
OPERATORS = (ROOT / "docs" / "OPERATORS.md").read_text()
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
    return prometheus_text(metrics.report()).decode()


class PagesTests(TestCase):
    def test_each_field_of_the_settings_is_described(self):
        for kind in (NodeSettings, ServiceDocument, RouteDocument):
            for name in field_names(kind):
                self.assertIn(f"`{name}`", OPERATORS, kind)

    def test_words_in_code_type_exist(self):
        source = "".join(
            path.read_text() for path in (ROOT / "balsamspindle").rglob("*.py")
        )
        # The library of metrics adds to their names.
        source += metrics_text()
        for word in re.findall(r"`([a-z]+(?:_[a-z]+)+)`", OPERATORS):
            self.assertIn(word, source)

    def test_each_metric_and_hop_is_described(self):
        for name in re.findall(r"# TYPE (\S+)", metrics_text()):
            self.assertIn(f"`{name}`", OPERATORS)
        for hop in Hop:
            self.assertIn(f"| `{hop}` |", OPERATORS)

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
        """Follow the words down to the command and check its options."""
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

    def test_links_between_pages_lead_somewhere(self):
        for page in PAGES:
            for target in re.findall(r"\]\(([^)#]+)(?:#[^)]*)?\)", page.read_text()):
                if "://" not in target:
                    self.assertTrue((page.parent / target).exists(), target)
