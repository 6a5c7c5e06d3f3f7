"""The backend servers beside this node, and the gate in front of them.

Start with `gate.py`: it alone decides whether an attempt runs. `admission.py`
manages slots and the queue, and `client.py` makes the HTTP call. The `health*.py`
modules use the results of calls to decide which backend servers are sick; start with
`health.py`.
"""
