"""How the daemon starts."""

from __future__ import annotations

import pathlib
import subprocess
import sys

SOURCES = pathlib.Path(__file__).parents[2] / "src"


def test_reload_while_the_process_starts_does_not_end_it() -> None:
    # Stands for the time that loading the daemon takes: it never ends here.
    script = (
        "import signal, sys\n"
        "sys.modules['marlramp.console'] = None\n"
        "try:\n"
        "    import marlrampd\n"
        "except ImportError:\n"
        "    signal.raise_signal(signal.SIGHUP)\n"
        "    print('still there')\n"
    )
    ended = subprocess.run(
        [sys.executable, "-c", script],
        cwd=SOURCES,
        capture_output=True,
        text=True,
        check=False,
        timeout=20,
    )
    assert ended.stdout == "still there\n", ended
