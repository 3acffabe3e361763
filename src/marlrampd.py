"""Starts the daemon from a checkout, without installing the package."""

import signal

# A process that still starts would end on SIGHUP. Its settings are read after
# this, so that it misses no change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from marlramp.console import daemon  # noqa: E402 - loading takes a while

if __name__ == "__main__":
    daemon.main()
