"""Tests of translating the platform's configuration and settings file."""

import json
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec
from testtools import TestCase

from balsamspindle.platform.configuration import translate_configuration
from balsamspindle.platform.settings import RetryBounds, load_machine_settings
from balsamspindle.platform.values import (
    PlatformFormatError,
    parse_duration_ms,
    parse_version,
)
from balsamspindle.protocol.outcomes import Execution, Reason
from balsamspindle.settings.configuration import Configuration

RETRIES = RetryBounds(0.2, 6.0)
CONFIGURATION = {
    "version": "0000001c",
    "routes": [
        {
            "name": "r-sign",
            "hostname": "sign.example",
            "prefix": "/xapu/ny/",
            "kind": "unsafe",
            "timeout": "8s",
            "target_latency": "2000ms",
            "priority": 1,
            "service": "wuno96b",
            "retry_attempts": 2,
        },
        {
            "name": "R_Odd",
            "hostname": "read.example",
            "prefix": "/",
            "kind": "safe",
            "timeout": "1500ms",
            "target_latency": "500ms",
            "priority": 2,
            "weighted_clusters": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "retry_attempts": 1,
        },
    ],
    "services": [
        {"name": "huvo11a", "health_path": "/h", "max_connections": 360},
        {"name": "wuno96b", "health_path": "/health", "max_connections": 360},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout": "3s",
        "idle_timeout": "15s",
    },
    "base_version": "00000007",
}
SETTINGS = {
    "node": "sidecar-mvd-puerto-1",
    "ip": "10.1.0.41",
    "zone": "mvd-puerto",
    "region": "uy-south",
    "listen": {
        "inbound": "10.1.0.41:8624",
        "outbound": "10.1.0.41:8629",
        "ready": "10.1.0.41:8625",
        "control": "10.1.0.41:8620",
    },
    "port_range": [7600, 7615],
    "bounds": ["grace=6s", "retry_budget_ratio=0.2", "budget_slack=60", "new=1"],
    "service": "wuno96b",
    "platform": {"address": "10.200.1.7:8627", "form": "table"},
    "contracts": ["base", "pressure"],
    "unheard_of": {"a": 1},
}


class ConfigurationTests(TestCase):
    def translate(self, **changes):
        settings = translate_configuration({**CONFIGURATION, **changes}, RETRIES)
        configuration = Configuration(*settings)
        self.assertEqual({}, configuration.unusable)
        return configuration

    def test_a_configuration_becomes_routes_services_and_limits(self):
        configuration = self.translate()
        self.assertEqual(0x1C, configuration.revision)
        route = configuration.routes.find("sign.example", "/xapu/ny/2f", "POST")
        self.assertIs(Execution.NON_IDEMPOTENT, route.execution)
        self.assertEqual((8000, 2), (route.timeout_ms, route.attempts_max))
        self.assertEqual("operator/wuno96b", route.service)
        shared = configuration.routes.find("read.example", "/any", "GET")
        self.assertEqual([90, 10], [share.weight for share in shared.shares])
        self.assertGreater(route.weight, shared.weight)
        service = configuration.services["operator/huvo11a"]
        self.assertEqual("/h", service.probe_path)
        self.assertEqual(500, service.detection.slow_ms_min)
        self.assertEqual(15_000, configuration.caller_limits.idle_timeout_ms)

    def test_a_prefix_with_a_slash_does_not_match_the_bare_path(self):
        routes = self.translate().routes
        for path in ("/xapu/ny", "/xapu/nyx/", "/xapu/"):
            self.assertIs(Reason.NO_ROUTE, routes.find("sign.example", path, "GET"))
        self.assertNotIsInstance(
            routes.find("sign.example", "/xapu/ny/", "GET"), Reason
        )

    def test_requests_with_large_answers_may_run_again_and_those_with_large_bodies_not(
        self,
    ):
        route = {**CONFIGURATION["routes"][0], "prefix": "/"}
        expected = {
            "download": Execution.IDEMPOTENT,
            "upload": Execution.NON_IDEMPOTENT,
            "a kind of a later release": Execution.NON_IDEMPOTENT,
        }
        for kind, execution in expected.items():
            routes = self.translate(routes=[{**route, "kind": kind}]).routes
            found = routes.find("sign.example", "/a", "GET")
            self.assertIs(execution, found.execution, kind)

    def test_only_callers_that_press_or_large_answers_switch_on_what_hard_load_needs(
        self,
    ):
        download = {**CONFIGURATION["routes"][0], "kind": "download"}
        cases = [
            (False, {}, ()),
            (False, {}, ("base", "quota")),
            (True, {}, ("base", "pressure")),
            (True, {"routes": [download]}, ()),
        ]
        for is_on, changes, contracts in cases:
            settings = translate_configuration(
                {**CONFIGURATION, **changes}, RETRIES, contracts
            )
            for service in Configuration(*settings).services.values():
                self.assertEqual(
                    (is_on,) * 4,
                    (
                        service.orders_routes_within_customers,
                        service.calls_inherit_importance,
                        service.reserves_places,
                        service.admits_by_level,
                    ),
                )

    def test_documents_without_settings_for_hard_load_are_those_of_earlier_releases(
        self,
    ):
        # Guards against nodes of an earlier release that cannot read the settings, in
        # a fleet that is being upgraded.
        later = {
            "orders_routes_within_customers",
            "calls_inherit_importance",
            "reserves_places",
            "admits_by_level",
        }
        for contracts, expected in (((), set()), (("pressure",), later)):
            settings = translate_configuration(CONFIGURATION, RETRIES, contracts)
            document = json.loads(settings.documents["operator/services/huvo11a"])
            self.assertEqual(expected, later & document.keys())
            reserves = "reserves_by_demand" in document["retry_budget"]
            self.assertEqual(bool(expected), reserves)

    def test_an_invalid_configuration_is_refused_as_a_whole(self):
        route = CONFIGURATION["routes"][0]
        invalid = {
            "version": {"version": "later"},
            "timeout": {"routes": [{**route, "timeout": "8"}]},
            "hostname": {"routes": [{**route, "hostname": None}]},
            "r-sign": {"routes": [{**route, "service": None}]},
            "limits": {"limits": {"max_header_bytes": "many"}},
        }
        for name, changes in invalid.items():
            broken = {**CONFIGURATION, **changes}
            error = self.assertRaises(
                PlatformFormatError, translate_configuration, broken, RETRIES
            )
            self.assertNotEqual("", str(error), name)

    def test_durations_and_versions_are_parsed_or_refused(self):
        self.assertEqual(1500, parse_duration_ms("1500ms"))
        self.assertEqual(2500, parse_duration_ms("2.5s"))
        self.assertEqual(12, parse_version("0000000c"))
        for text in ("", "1500", "-1s", "1m", "ms", None, 5):
            self.assertRaises(PlatformFormatError, parse_duration_ms, text)
        for text in ("", "0x1", "g", None, 5):
            self.assertRaises(PlatformFormatError, parse_version, text)


class SettingsFileTests(TestCase):
    def load(self, text: str):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text(text)
            return load_machine_settings(path)

    def test_the_file_becomes_node_settings(self):
        machine = self.load(json.dumps(SETTINGS)).ok
        node = machine.node
        self.assertEqual("10.1.0.41:8629", node.caller_address)
        self.assertEqual("10.1.0.41:8624", node.link_address)
        self.assertEqual("10.1.0.41:7600", node.member_address)
        self.assertEqual("10.1.0.41:8620", machine.announcement_address)
        self.assertEqual("wuno96b", node.caller_service)
        self.assertEqual(RetryBounds(0.2, 6.0), machine.retries)
        self.assertEqual({"base", "pressure"}, machine.contracts)
        self.assertTrue(3 < node.shutdown_timeout_s < 6)
        # The translated settings also pass the validation of the product's own file.
        msgspec.convert(msgspec.to_builtins(node), type(node))

    def test_the_error_of_an_invalid_file_names_the_field(self):
        broken = {**SETTINGS, "listen": {**SETTINGS["listen"], "ready": 7}}
        self.assertIn("listen.ready", self.load(json.dumps(broken)).error.message)
        self.assertIn("node.json", self.load("{").error.message)
        bound = {**SETTINGS, "bounds": ["grace=soon"]}
        self.assertIn("soon", self.load(json.dumps(bound)).error.message)
