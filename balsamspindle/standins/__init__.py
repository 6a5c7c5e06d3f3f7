"""Stand-ins for the users' platform and for backend servers.

They are for tests and the demo only. Faults can be injected into each of them.
"""
