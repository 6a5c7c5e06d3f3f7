"""Small stand-ins for outside systems; for tests and the demo only.

`platform.py` and `backend_server.py`, each with switches for its faults.
"""
