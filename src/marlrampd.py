"""Starts the daemon from a checkout, without installing the package."""

import signal
import sys

# A process that still starts would end on SIGHUP. Its settings are read after
# this, so that it misses no change.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# One that is stopped before it serves has nothing to finish: it ends well
# instead of by the signal.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


def main() -> None:
    """Runs the daemon; the command line is loaded only if it is used."""
    if len(sys.argv) == 1:
        from marlramp.direct import launch

        if launch.is_on_platform():
            sys.exit(launch.run_on_platform())
    from marlramp.console import daemon

    sys.exit(daemon.app())


def run() -> None:
    """Runs the daemon if the interpreter can; says in one line why not."""
    from marlramp import interpreter

    problem = interpreter.problem()
    if problem:
        print(f'event=process_failed error="{problem}"', file=sys.stderr)
        sys.exit(interpreter.EXIT_UNFIT)
    from marlramp import process_failure

    process_failure.run_reported(main)


if __name__ == "__main__":
    run()
