"""Starts the daemon from a checkout, without installing the package."""

from marlramp.console import daemon

if __name__ == "__main__":
    daemon.main()
