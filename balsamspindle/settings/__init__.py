"""Settings: of one process, and of the fleet by path."""

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
