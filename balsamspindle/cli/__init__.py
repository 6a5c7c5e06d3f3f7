"""Command-line programs: they parse arguments, call the other packages and report.

Start with `ctl.py`, whose commands are in `ctl_*.py`. `program.py` has the options,
errors and signal handling that all programs share, `exit_status.py` their exit
statuses.
"""
