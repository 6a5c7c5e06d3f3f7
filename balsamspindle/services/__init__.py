"""A service: its routes, and the choice among its backend servers.

Start with `picker.py`; it chooses from a `view.py`, in which `floor.py` says
which suspects are left out. `routes.py` finds the route of a request.
"""
