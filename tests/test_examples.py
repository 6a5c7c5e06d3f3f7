"""The example deployments are valid, complete and of the documented sizes."""

import json
from collections import Counter
from pathlib import Path

from testtools import TestCase

from balsamspindle.backend_servers.servers import Announcement
from balsamspindle.settings import load_node_settings
from balsamspindle.settings.validation import check_documents
from tests.utils import ROOT, encode

EXAMPLES = ROOT / "examples"
SIZES = {
    "association": {
        "zones": {"mvd-puerto", "mvd-centro", "canelones"},
        "services": {"vacancies": 6, "medical-fitness": 6, "contracts": 10},
        "slots": 6,
        "connections_max": 350,
    },
    "kelvale": {
        "zones": {"osborne-hall", "malaga-hall", "welshpool-hall", "canning-hall"},
        "services": {"support-loads": 8, "sign-offs": 8, "nozzle-checks": 10},
        "slots": 7,
        "connections_max": 400,
    },
}
ADDRESS_FIELDS = ("caller", "link", "member", "admin")


def read(path: Path):
    return json.loads(path.read_text())


class ExampleTests(TestCase):
    def test_settings_are_valid_and_cover_every_service(self):
        for name, sizes in SIZES.items():
            documents = read(EXAMPLES / name / "settings.json")
            encoded = {path: encode(value) for path, value in documents.items()}
            self.assertEqual([], check_documents(encoded))
            routed = {
                document["service"]
                for path, document in documents.items()
                if "/routes/" in path
            }
            self.assertEqual({f"{name}/{s}" for s in sizes["services"]}, routed)

    def test_nodes_are_in_all_zones_and_no_address_is_used_twice(self):
        addresses = []
        for name, sizes in SIZES.items():
            nodes = [
                load_node_settings(path).ok
                for path in (EXAMPLES / name / "nodes").glob("*.json")
            ]
            zones = {node.availability_zone for node in nodes}
            self.assertEqual(sizes["zones"], zones)
            connections = {node.connections_max for node in nodes}
            self.assertEqual({sizes["connections_max"]}, connections)
            addresses += [
                getattr(node, f"{field}_address")
                for node in nodes
                for field in ADDRESS_FIELDS
            ]
            servers = read(EXAMPLES / name / "backend-servers.json")
            addresses += [server["address"] for server in servers]
        self.assertEqual(len(addresses), len(set(addresses)))

    def test_each_service_has_its_backend_servers_and_slots(self):
        for name, sizes in SIZES.items():
            servers = read(EXAMPLES / name / "backend-servers.json")
            expected = {f"{name}/{s}": n for s, n in sizes["services"].items()}
            self.assertEqual(expected, Counter(server["service"] for server in servers))
            self.assertEqual({sizes["slots"]}, {server["slots"] for server in servers})
            nodes = {path.stem for path in (EXAMPLES / name / "nodes").iterdir()}
            for server in servers:
                self.assertIn(server["node"], nodes)
                Announcement(server["service"], server["address"], server["slots"], "1")
