"""The backend servers beside this node, and the gate before them.

Start with `gate.py`: it alone decides whether an attempt runs. Slots and the
queue are behind `admission.py`, the call itself in `client.py`; the modules
`health*.py` judge from that work who is sick, `health.py` first.
"""
