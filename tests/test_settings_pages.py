"""Settings messages are small enough for the byte cap on one message."""

import random

import msgspec
from testtools import TestCase

from balsamspindle.membership.budget import ByteBudget, Importance
from balsamspindle.membership.transport import (
    CONNECT_OVERHEAD_BYTES,
    MESSAGE_OVERHEAD_BYTES,
)
from balsamspindle.settings.pages import documents_of_pages, pages_of_documents
from balsamspindle.settings.process import NodeSettings
from balsamspindle.settings.recent_changes import RecentChanges
from balsamspindle.wire import Sender, encode_member
from balsamspindle.wire.settings_messages import (
    SettingsDelta,
    SettingsDeltas,
    SettingsPage,
)

ADDRESS = "10.0.0.1:7002"
CAP_BYTES_PER_S = NodeSettings.__struct_defaults__[
    NodeSettings.__struct_fields__.index("member_bytes_per_s")
    - len(NodeSettings.__struct_fields__)
]


def varied_documents(count: int) -> dict[str, bytes]:
    """Return routes with random names that compress badly."""
    rng = random.Random(1)

    def word() -> str:
        return rng.randbytes(12).hex()

    return {
        f"team/routes/{word()}": msgspec.json.encode(
            {"service": f"team/{word()}", "host": word(), "path_prefix": f"/{word()}"}
        )
        for _ in range(count)
    }


class SettingsMessageSizeTests(TestCase):
    # The platform is down, and a replaced node requests all settings from a peer. If a
    # page is larger than the token bucket of the peer's byte cap, the peer refuses to
    # send it each time that the node requests it. The node then serves no request until
    # the platform is available again, although every peer has the settings.
    def assert_is_sent(self, kind, message):
        budget = ByteBudget(CAP_BYTES_PER_S, now_s=0.0)
        frame = encode_member(kind, Sender("node-0", 1, ADDRESS), message)
        cost_bytes = len(frame) + MESSAGE_OVERHEAD_BYTES + CONNECT_OVERHEAD_BYTES
        self.assertTrue(
            budget.try_spend(cost_bytes, 0.0, Importance.URGENT), f"{cost_bytes} bytes"
        )

    def test_each_page_of_all_settings_can_be_sent(self):
        documents = varied_documents(2000)
        pages = pages_of_documents(documents)
        self.assertEqual(documents, documents_of_pages(pages))
        for number, body in enumerate(pages):
            page = SettingsPage(ADDRESS, 1, "c" * 32, number, len(pages), body)
            self.assert_is_sent("settings_page", page)

    def test_an_answer_with_many_changes_can_be_sent(self):
        recent = RecentChanges()
        for number, (path, document) in enumerate(varied_documents(500).items()):
            chain = f"{number:032x}"
            recent.append(SettingsDelta(number, chain, chain, {path: document}))
        answer = SettingsDeltas(ADDRESS, 500, recent.changes_above(0))
        self.assertGreater(len(answer.deltas), 10)
        self.assert_is_sent("settings_deltas", answer)
