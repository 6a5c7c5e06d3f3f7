"""Settings of one node process, and of the whole fleet.

`documents.py` defines the documents that teams write. Operators' edits go through
`store.py` to the platform. `reader.py` and `gossip.py` bring accepted edits to each
node, where `configuration.py` holds the settings in force. `process.py` defines the
settings that a node process reads from a file when it starts.
"""

from balsamspindle.settings.documents import (
    Detection,
    RetryBudget,
    RouteDocument,
    ServiceDocument,
)
from balsamspindle.settings.process import (
    NodeSettings,
    SettingsError,
    load_node_settings,
)

__all__ = [
    "Detection",
    "NodeSettings",
    "RetryBudget",
    "RouteDocument",
    "ServiceDocument",
    "SettingsError",
    "load_node_settings",
]
