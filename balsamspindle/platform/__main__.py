"""``python -m balsamspindle.platform``: runs a node on the users' platform."""

import signal
import sys

if __name__ == "__main__":
    # Before the imports of `run`, which take some tenths of a second: until a handler
    # is set, SIGHUP would end the process. The settings file is read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from balsamspindle.platform.run import main

    sys.exit(main())
