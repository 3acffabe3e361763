"""Checkout with two small dependencies, built by the real build command."""

from __future__ import annotations

import base64
import hashlib
import os
import pathlib
import shutil
import subprocess
import sys
import tomllib
import zipfile

import pytest

DEPLOY = pathlib.Path(__file__).parents[2] / "deploy"
SOURCES = DEPLOY.parent / "src"
PACKAGES = ("alpha", "beta")


class Checkout:
    """A directory with the sources, the deploy files and its own lock file.

    Attributes:
      root: the directory.
    """

    def __init__(self, root: pathlib.Path) -> None:
        """Copies sources and deploy files without building."""
        self.root = root
        shutil.copytree(DEPLOY, root / "deploy")
        shutil.copytree(SOURCES, root / "src")
        self._wheels = root / "wheels"
        self._wheels.mkdir()
        self.lock(PACKAGES)

    @property
    def dependencies(self) -> pathlib.Path:
        """Directory that processes import dependencies from."""
        return self.root / "target" / "deps"

    def lock(self, names: tuple[str, ...]) -> None:
        """Builds wheels of these packages and writes a lock file for them."""
        lines = [self._locked(name) for name in names]
        (self.root / "deploy" / "requirements.lock").write_text("".join(lines))

    def start_build(
        self, environment: dict[str, str] | None = None
    ) -> subprocess.Popen[str]:
        """Starts the build command as the platform does."""
        text = (self.root / "deploy" / "system.toml").read_text()
        programs = pathlib.Path(sys.executable).parent
        return subprocess.Popen(
            tomllib.loads(text)["build"],
            shell=True,
            cwd=self.root,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
            env={
                **os.environ,
                "PATH": f"{programs}{os.pathsep}{os.environ['PATH']}",
                "PIP_NO_INDEX": "1",
                "PIP_FIND_LINKS": str(self._wheels),
                **(environment or {}),
            },
        )

    def build(self, environment: dict[str, str] | None = None) -> int:
        """Runs the build command and returns its exit code."""
        process = self.start_build(environment)
        output, _ = process.communicate(timeout=60)
        print(output)
        return process.returncode

    def missing(self) -> list[str]:
        """Returns the packages that are not installed."""
        return [
            name
            for name in PACKAGES
            if not (self.dependencies / name / "__init__.py").exists()
        ]

    def _locked(self, name: str) -> str:
        digest = hashlib.sha256(self._wheel(name).read_bytes()).hexdigest()
        return f"{name}==1.0 --hash=sha256:{digest}\n"

    def _wheel(self, name: str) -> pathlib.Path:
        info = f"{name}-1.0.dist-info"
        files = {
            f"{name}/__init__.py": f"NAME = '{name}'\n",
            f"{info}/METADATA": (
                f"Metadata-Version: 2.1\nName: {name}\nVersion: 1.0\n"
            ),
            f"{info}/WHEEL": (
                "Wheel-Version: 1.0\nGenerator: tests\n"
                "Root-Is-Purelib: true\nTag: py3-none-any\n"
            ),
        }
        records = [_record(file, text) for file, text in files.items()]
        files[f"{info}/RECORD"] = "".join([*records, f"{info}/RECORD,,\n"])
        wheel = self._wheels / f"{name}-1.0-py3-none-any.whl"
        with zipfile.ZipFile(wheel, "w") as archive:
            for file, text in files.items():
                archive.writestr(zipfile.ZipInfo(file), text)
        return wheel


def _record(file: str, text: str) -> str:
    digest = hashlib.sha256(text.encode()).digest()
    encoded = base64.urlsafe_b64encode(digest).rstrip(b"=").decode()
    return f"{file},sha256={encoded},{len(text)}\n"


@pytest.fixture
def checkout(tmp_path: pathlib.Path) -> Checkout:
    """Returns a checkout without a build."""
    return Checkout(tmp_path)
