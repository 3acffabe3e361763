"""Installs the locked dependencies into target/deps: whole, or not at all.

They are installed into a folder of their own, checked there, and only then take
the place that processes import from. What lies there counts as ready only if it
was made from this lock file for this interpreter and no file of it is missing:
half a folder would end every process at its first import, at every restart.

Standard library only, since nothing else is installed yet, in words that an
interpreter which is too old can read as well: it then says so.
"""

import csv
import fcntl
import hashlib
import importlib.util
import os
import pathlib
import shutil
import subprocess
import sys
import sysconfig

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "src"))

from marlramp import interpreter  # noqa: E402

LOCK_FILE = ROOT / "deploy" / "requirements.lock"
TARGET = ROOT / "target"
DEPENDENCIES = TARGET / "deps"
TEMPORARY = ".deps-"
"""Begins the names of folders that nothing imports from."""

BUILDING = ".deps.lock"
"""Held by the one build that may change the folders."""

EXIT_FAILED = 1


SHARED_UMASK = 0o022
"""What the build makes may be read by all: daemons may run as another user."""


class InstallError(Exception):
    """The dependencies could not be installed."""


def wanted_marker() -> str:
    """Returns what identifies lock file, interpreter and machine."""
    parts = [
        hashlib.sha256(LOCK_FILE.read_bytes()).hexdigest(),
        sys.implementation.cache_tag or sys.version,
        sysconfig.get_platform(),
    ]
    return "\n".join(parts) + "\n"


def is_whole(folder: pathlib.Path, marker: str) -> bool:
    """Returns whether a folder holds all that `marker` stands for."""
    try:
        if (folder / interpreter.MARKER).read_text() != marker:
            return False
        records = list(folder.glob("*.dist-info/RECORD"))
        return bool(records) and all(map(_holds_all, records))
    except (OSError, ValueError):
        return False


def _holds_all(record: pathlib.Path) -> bool:
    """Returns whether the files of one package are there in their size."""
    folder = record.parents[1]
    with record.open(newline="") as lines:
        for path, _, size in csv.reader(lines):
            # Scripts lie outside of the folder, and bytecode, whose size is
            # not recorded, is made anew where it is missing.
            if not size or path.startswith(("../", "/")):
                continue
            if (folder / path).stat().st_size != int(size):
                return False
    return True


def install(marker: str) -> None:
    """Installs into a folder of its own, which then takes its place.

    Raises:
      InstallError: if the installer fails or leaves something out.
    """
    fresh = TARGET / f"{TEMPORARY}new"
    _run_installer(fresh)
    # Written last: what has it is whole.
    (fresh / interpreter.MARKER).write_text(marker)
    if not is_whole(fresh, marker):
        raise InstallError("files of the dependencies are missing")
    if DEPENDENCIES.exists():
        DEPENDENCIES.rename(TARGET / f"{TEMPORARY}old")
    fresh.rename(DEPENDENCIES)


def _run_installer(folder: pathlib.Path) -> None:
    command = [sys.executable, "-m", "pip", "install", "--quiet"]
    command += ["--disable-pip-version-check", "--require-hashes"]
    command += ["--target", str(folder), "-r", str(LOCK_FILE)]
    if importlib.util.find_spec("pip") is None:
        raise InstallError(f"{interpreter.found()} has no pip")
    if subprocess.run(command, check=False).returncode:
        raise InstallError("the installer failed, see its lines above")


def _remove_leftovers() -> None:
    """Removes what builds that ended early left behind."""
    for folder in TARGET.glob(f"{TEMPORARY}*"):
        if folder.is_dir():
            shutil.rmtree(folder)


def _install_alone(marker: str) -> None:
    """Installs unless another build at work has done so meanwhile.

    Two builds that replace each other's folder would take packages away from
    processes that the first one's caller has started.
    """
    TARGET.mkdir(exist_ok=True)
    with (TARGET / BUILDING).open("w") as building:
        fcntl.flock(building, fcntl.LOCK_EX)
        _remove_leftovers()
        if is_whole(DEPENDENCIES, marker):
            return
        install(marker)
        _remove_leftovers()


def main() -> int:
    """Makes target/deps whole; returns the exit code."""
    # Dependencies of another release on the path are what a build replaces.
    problem = interpreter.age_problem()
    if problem:
        print(f"install_dependencies: {problem}", file=sys.stderr)
        return interpreter.EXIT_UNFIT
    os.umask(SHARED_UMASK)
    marker = wanted_marker()
    if is_whole(DEPENDENCIES, marker):
        return os.EX_OK
    try:
        _install_alone(marker)
    except (InstallError, OSError) as error:
        print(f"install_dependencies: {error}", file=sys.stderr)
        return EXIT_FAILED
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
