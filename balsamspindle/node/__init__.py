"""The node: the process that runs beside a VM's backend servers.

Start with `process.py`, which assembles a node, starts its tasks and shuts them down
in order. `admin.py` is the HTTP interface for backend servers and operators.
"""
