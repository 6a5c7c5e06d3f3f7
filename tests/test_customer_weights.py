"""The weight of a request, from its customer and its route."""

import json

from testtools import TestCase

from balsamspindle.customers.admission import identify
from balsamspindle.protocol.api_keys import key_digest
from balsamspindle.settings.configuration import Configuration
from tests.caller_side import DOCUMENTS

KEYS = {"crew/customers/anna": ("k-anna", 0.5), "crew/customers/ben": ("k-ben", 1.0)}


def weight_of(route_weight: float, key: str | None, *, orders: bool) -> float:
    service = {"orders_routes_within_customers": orders}
    route = {**json.loads(DOCUMENTS["crew/routes/read"]), "weight": route_weight}
    documents = {
        **DOCUMENTS,
        "crew/services/contracts": json.dumps(service).encode(),
        "crew/routes/read": json.dumps(route).encode(),
    }
    for path, (name, weight) in KEYS.items():
        customer = {"name": name, "key_digests": [key_digest(name)], "weight": weight}
        documents[path] = json.dumps(customer).encode()
    configuration = Configuration(1, documents)
    found = configuration.routes.find("crew.example", "/contracts/7", "GET")
    digest = key and key_digest(key)
    return identify(configuration, found, digest, is_fresh=True).route.weight


class RequestWeightTests(TestCase):
    def test_routes_are_ordered_where_customers_have_the_same_weight(self):
        """Urgent requests waited behind others, as customers' weights hid routes'."""
        urgent = weight_of(1.0, "k-anna", orders=True)
        other = weight_of(1 / 3, "k-anna", orders=True)
        self.assertGreater(urgent, other)

    def test_a_request_without_a_customer_is_ordered_like_one_with_the_same_weight(
        self,
    ):
        self.assertEqual(
            weight_of(0.5, "k-anna", orders=True), weight_of(0.5, None, orders=True)
        )

    def test_a_heavier_customer_goes_first_whatever_the_route(self):
        lightest_of_heavier = weight_of(0.01, "k-ben", orders=True)
        heaviest_of_lighter = weight_of(100.0, "k-anna", orders=True)
        self.assertGreater(lightest_of_heavier, heaviest_of_lighter)

    def test_without_the_setting_the_customers_weight_replaces_the_routes(self):
        self.assertEqual(0.5, weight_of(1.0, "k-anna", orders=False))
        self.assertEqual(1.0, weight_of(1.0, None, orders=False))
