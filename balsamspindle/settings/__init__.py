"""The settings of a single node process and the settings of the whole fleet.

The fleet's settings consist of documents, which teams write. `documents.py` defines
the types of documents, and `store.py` writes operators' edits to the platform.
`reader.py` and `gossip.py` bring accepted edits to each node, where
`configuration.py` holds the settings in force. `process.py` defines the settings
that a node process reads from a file when it starts.
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
