"""Adapters between the users' platform and the product.

- `store.py`: client of the platform's metadata store.
- `values.py`: decoders of the platform's durations, versions, bytes and bounds.
- `configuration.py`: translates the operator's configuration.
- `settings.py`: translates the settings file of a process.
- `announcements.py`: receives the announcements of backend servers.
- `__main__.py`: runs a node on the platform.
"""

from balsamspindle.platform.store import HttpObjectStore, HttpTableService

__all__ = ["HttpObjectStore", "HttpTableService"]
