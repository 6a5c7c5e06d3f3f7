"""The binaries: thin entry points that parse, call and report.

Start with `ctl.py`, whose commands are in `ctl_*.py`; `program.py` has what all
binaries share, and `exit_status.py` how they end.
"""
