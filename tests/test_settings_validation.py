"""Faults of settings, in the form in which operators read them."""

import json
import tempfile
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st
from testtools import TestCase

from balsamspindle.settings import NodeSettings, load_node_settings
from balsamspindle.settings.validation import (
    check_documents,
    document_warnings,
    struct_faults,
)
from tests.utils import encode

VALID = {
    "crew/services/contracts": {},
    "crew/routes/sign": {
        "service": "crew/contracts",
        "execution": "non_idempotent",
        "path_prefix": "/contracts",
        "methods": ["POST"],
    },
}


def faults_of(changes: dict) -> list[str]:
    documents = {**VALID, **changes}
    encoded = {path: encode(document) for path, document in documents.items()}
    return [str(fault) for fault in check_documents(encoded)]


class SettingsValidationTests(TestCase):
    def test_valid_documents_have_no_fault(self):
        self.assertEqual([], faults_of({}))

    def test_all_faults_are_reported_with_document_and_field(self):
        """One service and one route have eight faults.

        A decoder alone reports one fault per document, so that the operator would
        have to check the documents again after each correction.
        """
        faults = faults_of(
            {
                "crew/services/contracts": {
                    "floor_fraction": 1.5,
                    "detection": {"treshold": 3, "error_rate_sick": "high"},
                    "queue_max": 2.5,
                },
                "crew/routes/sign": {
                    "execution": "idempotant",
                    "methods": ["GTE"],
                    "timeout_ms": 0,
                },
            }
        )
        self.assertEqual(
            [
                "crew/services/contracts floor_fraction: expected a number at "
                "least 0 and at most 1, got 1.5",
                "crew/services/contracts detection.treshold: no such field; did "
                "you mean 'threshold'?",
                "crew/services/contracts detection.error_rate_sick: expected a "
                'number at least 0 and at most 1, got "high"',
                "crew/services/contracts queue_max: expected a whole number at "
                "least 0, got 2.5",
                "crew/routes/sign service: missing: expected the name of a "
                "service, TEAM/NAME",
                "crew/routes/sign execution: expected one of idempotent, "
                "non_idempotent, got \"idempotant\"; did you mean 'idempotent'?",
                "crew/routes/sign methods[0]: expected one of DELETE, GET, HEAD, "
                "OPTIONS, PATCH, POST, PUT, got \"GTE\"; did you mean 'GET'?",
                "crew/routes/sign timeout_ms: expected a number above 0, got 0",
            ],
            faults,
        )

    def test_faults_between_documents_are_reported(self):
        route = VALID["crew/routes/sign"]
        cases = {
            "no service 'crew/contract' is defined; did you mean": {
                "crew/routes/sign": {**route, "service": "crew/contract"}
            },
            "takes the same requests as crew/routes/sign": {
                "yard/routes/again": {**route, "path_prefix": "/contracts/"}
            },
            "did you mean 'services'": {"crew/service/contracts": {}},
            "is no name": {"crew/services/Con tracts": {}},
            "expected more than error_rate_healthy": {
                "crew/services/contracts": {"detection": {"error_rate_sick": 0.01}}
            },
            "expected a JSON object, got [1]": {"crew/services/contracts": [1]},
        }
        for words, changes in cases.items():
            faults = faults_of(changes)
            self.assertEqual(1, len(faults), faults)
            self.assertIn(words, faults[0])

    def test_same_path_for_another_host_or_method_is_no_fault(self):
        route = VALID["crew/routes/sign"]
        others = {
            "crew/routes/read": {**route, "methods": ["GET"]},
            "crew/routes/port": {**route, "host": "port.example"},
        }
        self.assertEqual([], faults_of(others))

    def test_a_route_to_another_teams_service_is_valid_with_a_warning(self):
        route = {**VALID["crew/routes/sign"], "service": "yard/cranes"}
        documents = {"crew/routes/sign": encode(route)}
        self.assertEqual([], check_documents(documents, {"yard/cranes"}))
        (warning,) = document_warnings(documents)
        self.assertIn("a service of another team (yard)", warning.message)

    def test_all_faults_of_a_nodes_own_settings_are_reported(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "node.json"
            path.write_text('{"node_id": "Node 1", "caller_adress": "127.0.0.1:1"}')
            report = load_node_settings(path).error.message
        self.assertIn("node_id: expected a name of a-z", report)
        self.assertIn("did you mean 'caller_address'?", report)
        self.assertIn("availability_zone: missing", report)

    def test_a_fault_in_a_key_does_not_show_the_key(self):
        keys = {"public_key": "P" * 40, "secret_key": "S3CRET"}
        faults = struct_faults("n", encode({"fleet_keys": keys}), NodeSettings)
        messages = [str(fault) for fault in faults if "fleet_keys" in fault.field]
        self.assertEqual(1, len(messages), messages)
        self.assertIn("n fleet_keys.secret_key: expected", messages[0])
        self.assertNotIn("S3CRET", messages[0])

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(["service", "methods", "detection", "x"]), inner
                )
            ),
            max_leaves=8,
        )
    )
    def test_any_json_has_faults_and_raises_nothing(self, value):
        for path in ("crew/services/contracts", "crew/routes/sign"):
            document = json.dumps(value).encode()
            if value != {} or "/routes/" in path:
                self.assertNotEqual([], check_documents({path: document}))
