"""A service: its routes, and the choice among its backend servers."""
