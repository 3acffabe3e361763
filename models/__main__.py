"""Checks all models.

Exits with 1 if a property is violated or a seeded bug goes undetected.
"""

from __future__ import annotations

import sys

from models import grants
from models import replica_restart
from models import report
from models import settings
from models import swap_permits
from models import version_swap


def main() -> int:
    """Checks all specifications; returns the exit code."""
    try:
        report.run(grants.SPECIFICATION)
        report.run(replica_restart.SPECIFICATION)
        report.run(settings.SPECIFICATION)
        report.run(swap_permits.SPECIFICATION)
        report.run(version_swap.SPECIFICATION)
    except (report.ModelFailedError, AssertionError) as error:
        print(f"FAILED: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
