"""The deployment's platform: all that translates, and nothing else.

`store.py` is the client of its metadata store, `values.py` reads how it writes
times and versions, `configuration.py` and `settings.py` turn the operator's
configuration and the process's settings into the product's, `announcements.py`
takes what backend servers say of themselves. `__main__.py` starts a node there.
"""

from balsamspindle.platform.store import HttpObjectStore, HttpTableService

__all__ = ["HttpObjectStore", "HttpTableService"]
