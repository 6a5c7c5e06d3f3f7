"""Customers in the settings: validation of their documents, and lookup by key."""

import json

from testtools import TestCase

from balsamspindle.platform.configuration import translate_configuration
from balsamspindle.platform.values import PlatformFormatError
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.settings.configuration import Configuration, CurrentConfiguration
from balsamspindle.settings.customers import CHANGES_MAX, CustomerTable
from balsamspindle.settings.documents import CustomerDocument
from balsamspindle.settings.validation import check_documents
from tests.test_platform_translation import CONFIGURATION, RETRIES

FIRST, SECOND, THIRD = map(key_digest, ("first", "second", "third"))


def faults_of(**fields) -> list[str]:
    document = {"name": "Anna", "key_digests": [FIRST], **fields}
    return faults({"crew/customers/anna": document})


def faults(documents: dict[str, dict]) -> list[str]:
    encoded = {path: json.dumps(value).encode() for path, value in documents.items()}
    return list(map(str, check_documents(encoded)))


class CustomerDocumentTests(TestCase):
    def test_a_valid_customer_has_no_fault(self):
        self.assertEqual([], faults_of(rate_per_s=5, burst=2.5, weight=2))

    def test_each_fault_names_document_and_field(self):
        for field, value in (
            ("name", ""),
            ("name", "two words"),
            ("name", "line\r\nX: 1"),
            ("rate_per_s", -1),
            ("burst", -0.5),
            ("weight", 0),
            ("rates", 1),
        ):
            (fault,) = faults_of(**{field: value})
            self.assertIn(f"crew/customers/anna {field}", fault)

    def test_a_burst_needs_a_rate(self):
        (fault,) = faults_of(burst=4)
        self.assertIn("crew/customers/anna burst", fault)

    def test_a_rate_that_is_not_a_number_is_refused(self):
        document = b'{"name": "Anna", "rate_per_s": NaN}'
        (fault,) = check_documents({"crew/customers/anna": document})
        self.assertIn("not JSON", fault.message)

    def test_a_key_may_belong_to_only_one_customer(self):
        # Guards against requests that are attributed to the wrong customer.
        (fault,) = faults(
            {
                "crew/customers/anna": {"name": "Anna", "key_digests": [FIRST]},
                "crew/customers/ben": {"name": "Ben", "key_digests": [SECOND, FIRST]},
            }
        )
        self.assertIn("crew/customers/ben key_digests[1]", fault)
        self.assertIn("crew/customers/anna", fault)

    def test_a_key_in_place_of_its_digest_is_not_repeated_in_the_fault(self):
        # Guards against keys that are shown in an operator's terminal and logs.
        (fault,) = faults_of(key_digests=["my-secret-key"])
        self.assertIn("key_digests[0]", fault)
        self.assertNotIn("my-secret-key", fault)


class CustomerTableTests(TestCase):
    def test_changes_replace_only_the_keys_of_changed_customers(self):
        anna, ben = (
            CustomerDocument("Anna", (FIRST,)),
            CustomerDocument("Ben", (SECOND,)),
        )
        table = CustomerTable([anna, ben])
        rotated = CustomerDocument("Anna", (FIRST, THIRD))
        after = table.with_changes([anna], [rotated])
        self.assertEqual("Anna", after.find(THIRD).name)
        self.assertEqual("Anna", after.find(FIRST).name)
        self.assertEqual("Ben", after.find(SECOND).name)
        self.assertIsNone(table.find(THIRD))
        done = after.with_changes([rotated], [CustomerDocument("Anna", (THIRD,))])
        self.assertIsNone(done.find(FIRST))

    def test_a_key_that_moved_stays_with_its_new_customer(self):
        # Guards against the loss of a key that one change moves to another customer. If
        # the new owner's document is applied first, the removal of the old owner's
        # document must not delete the key.
        anna, ben = CustomerDocument("Anna", (FIRST,)), CustomerDocument("Ben", ())
        table = CustomerTable([anna, ben])
        after = table.with_changes([anna, ben], [CustomerDocument("Ben", (FIRST,))])
        self.assertEqual("Ben", after.find(FIRST).name)
        later = after.with_changes([anna], [])
        self.assertEqual("Ben", later.find(FIRST).name)

    def test_no_key_is_lost_after_many_changes(self):
        table = CustomerTable()
        for number in range(CHANGES_MAX + 2):
            digest = key_digest(str(number))
            table = table.with_changes([], [CustomerDocument(str(number), (digest,))])
        gone = CustomerDocument("0", (key_digest("0"),))
        self.assertEqual("0", table.find(key_digest("0")).name)
        self.assertEqual(str(CHANGES_MAX + 1), table.find(digest).name)
        self.assertIsNotNone(table.with_changes([gone], []).find(key_digest("0")))

    def test_a_key_is_unknown_once_settings_without_it_are_in_force(self):
        current = CurrentConfiguration()
        document = json.dumps({"name": "Anna", "key_digests": [FIRST]}).encode()
        current.offer(1, {"crew/customers/anna": document})
        self.assertEqual("Anna", current.get().customers.find(FIRST).name)
        current.offer(2, {})
        self.assertIsNone(current.get().customers.find(FIRST))


class PlatformTenantsTests(TestCase):
    TENANT = {
        "name": "bozi300",
        "api_keys": ["mgjy5rcp", "v3nax7u2"],
        "priority": 1,
        "rate_per_s": 22,
        "burst": 22,
    }

    def _translate(self, *tenants, **changes):
        configuration = {**CONFIGURATION, "tenants": list(tenants), **changes}
        revision, documents = translate_configuration(configuration, RETRIES)
        return Configuration(revision, documents)

    def test_a_tenant_becomes_a_customer_without_its_keys(self):
        configuration = self._translate(self.TENANT)
        customer = configuration.customers.find(key_digest("v3nax7u2"))
        self.assertEqual(
            ("bozi300", 22.0, 22.0, 0.5),
            (customer.name, customer.rate_per_s, customer.burst, customer.weight),
        )
        self.assertNotIn(b"mgjy5rcp", b"".join(configuration.documents.values()))
        self.assertEqual({}, configuration.unusable)

    def test_routes_need_keys_only_where_there_are_tenants(self):
        find = ("sign.example", "/xapu/ny/1", "POST")
        without = translate_configuration(CONFIGURATION, RETRIES)
        route = Configuration(*without).routes.find(*find)
        self.assertTrue(route.allows_anonymous)
        route = self._translate(self.TENANT).routes.find(*find)
        self.assertFalse(route.allows_anonymous)
        self.assertFalse(self._translate().routes.find(*find).allows_anonymous)

    def test_a_route_may_allow_anonymous_requests(self):
        routes = [{**CONFIGURATION["routes"][0], "allow_anonymous": True}]
        configuration = self._translate(self.TENANT, routes=routes)
        route = configuration.routes.find("sign.example", "/xapu/ny/1", "POST")
        self.assertTrue(route.allows_anonymous)

    def test_an_invalid_configuration_is_refused_whole_and_without_showing_keys(self):
        # Guards against a configuration of which only a part is in force, and against
        # keys in the log.
        other = {**self.TENANT, "name": "other"}
        for tenants in (
            [self.TENANT, self.TENANT],
            [self.TENANT, other],
            [{**self.TENANT, "api_keys": [""]}],
            [{**self.TENANT, "api_keys": ["mgjy5rcp" * 50]}],
            [{**self.TENANT, "rate_per_s": -1}],
            [{**self.TENANT, "name": "a\r\nb"}],
        ):
            error = self.assertRaises(PlatformFormatError, self._translate, *tenants)
            self.assertIn("tenants[", str(error))
            self.assertNotIn("mgjy5rcp", str(error))
