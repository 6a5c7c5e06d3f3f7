"""The choice of a backend server for a request to a service.

Start with `picker.py`. It chooses among the backend servers of a `ServiceView`
(`view.py`), which omits the backend servers that `floor.py` decided to eject.
"""
