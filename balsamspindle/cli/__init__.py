"""Command-line programs: parse arguments, call the other packages, print the results.

Start with `ctl.py`; its commands are in the modules `ctl_*.py`. All programs share the
options, error reporting and signal handling of `program.py` and the exit statuses of
`exit_status.py`.
"""
