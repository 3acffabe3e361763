"""Starts the daemon from a checkout, without installing the package."""

import signal
import sys

# SIGHUP would end a process that is still starting. The process reads its
# settings after this line, so that it misses no change to them.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# A process that is stopped while it starts has no requests to finish. It exits
# with status 0 instead of being ended by the signal.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def main() -> None:
    """Runs the daemon; imports the command line only if it is used."""
    if len(sys.argv) == 1:
        from marlramp.direct import launch

        if launch.is_on_platform():
            sys.exit(launch.run_on_platform())
    from marlramp.console import daemon

    sys.exit(daemon.app())


def run() -> None:
    """Runs the daemon, or reports in one line why this interpreter can't."""
    from marlramp import interpreter

    problem = interpreter.problem()
    if problem:
        print(f'event=process_failed error="{problem}"', file=sys.stderr)
        sys.exit(interpreter.EXIT_UNFIT)
    from marlramp import process_failure

    process_failure.run_reported(main)


if __name__ == "__main__":
    run()
