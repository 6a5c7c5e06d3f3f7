"""Settings: of one process, and of the fleet by path.

Start with `documents.py`, what teams write. Operators' edits go through
`store.py` to the platform; `reader.py` and `gossip.py` bring them to each node,
into `configuration.py`. `process.py` is what one node is told at its start.
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
