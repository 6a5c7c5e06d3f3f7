"""Adapters between the users' platform and the product.

- `store.py`, `object_store.py`: clients of the tables and objects of the platform's
  metadata store; `store_calls.py` makes their calls.
- `values.py`: decoders of the platform's durations, versions, bytes and bounds.
- `configuration.py`: translates the operator's configuration.
- `settings.py`: translates the settings file of a process.
- `announcements.py`: receives the announcements of backend servers.
- `run.py`, `__main__.py`: run a node on the platform.

The package imports none of its modules: `__main__.py` handles signals before they load.
"""
