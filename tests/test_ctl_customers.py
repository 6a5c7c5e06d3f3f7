"""Tests of ``balsamspindle-ctl customers``: its output and its exit statuses."""

import json

from testtools import TestCase

from balsamspindle.cli.exit_status import ExitStatus
from balsamspindle.protocol.api_keys import key_digest
from tests.test_ctl import run
from tests.utils import PlatformInProcess


class CustomerCommandTests(TestCase):
    def setUp(self):
        super().setUp()
        self.platform = PlatformInProcess()
        self.addCleanup(self.platform.stop)

    def _customers(self, command, *arguments, status=ExitStatus.DONE):
        result = run(
            "customers", command, "--platform", self.platform.address, *arguments
        )
        self.assertEqual(status, result.exit_code, result.output)
        return result

    def _document(self):
        listed = self._customers("list", "crew", "--json").stdout
        return json.loads(listed)["crew/anna"]

    def test_a_customer_is_added_limited_and_listed(self):
        self._customers("add", "crew/anna", "--rate", "20", "--burst", "10")
        self._customers("limit", "crew/anna", "--rate", "5")
        expected = {"name": "anna", "rate_per_s": 5.0, "burst": 10.0}
        self.assertEqual(expected, self._document())
        self._customers("add", "crew/anna", status=ExitStatus.CONFLICT)

    def test_keys_are_replaced_and_only_their_digests_are_stored(self):
        self._customers("add", "crew/anna")
        first = self._customers("give-key", "crew/anna").stdout.split()[-1]
        second = self._customers("give-key", "crew/anna").stdout.split()[-1]
        digests = [key_digest(first), key_digest(second)]
        self.assertEqual(digests, self._document()["key_digests"])
        listed = self._customers("list", "crew").stdout
        self.assertIn(digests[0][:8], listed)
        self.assertNotIn(first, listed)
        self._customers("take-key", "crew/anna", digests[0][:8])
        self.assertEqual(digests[1:], self._document()["key_digests"])

    def test_missing_customers_keys_and_options_are_reported(self):
        self._customers("limit", "crew/ben", "--rate", "1", status=ExitStatus.NOT_FOUND)
        self._customers("limit", "ben", "--rate", "1", status=ExitStatus.USAGE)
        self._customers("add", "crew/anna")
        self._customers("limit", "crew/anna", status=ExitStatus.USAGE)
        self._customers("take-key", "crew/anna", "ab", status=ExitStatus.NOT_FOUND)

    def test_an_invalid_limit_is_refused_with_its_path(self):
        result = self._customers(
            "add", "crew/anna", "--rate", "-1", status=ExitStatus.INVALID
        )
        self.assertIn("crew/customers/anna rate_per_s", result.stderr)
        result = self._customers(
            "add", "crew/anna", "--burst", "3", status=ExitStatus.INVALID
        )
        self.assertIn("crew/customers/anna burst", result.stderr)
