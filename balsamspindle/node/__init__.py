"""The process beside a backend server VM.

`process.py` puts a node together, starts its tasks and ends them in order;
start there. `admin.py` is what backend servers and operators talk to.
"""
