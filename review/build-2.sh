#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They are
# Python and need no compiler: this checks that each of them loads with what
# the build line of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:src:. PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
import standins.direct_documents
import standins.direct_fleet
import standins.direct_replicas
import standins.direct_store
import standins.direct_weights
import standins.raw_http
import review.support
import review.taken_key
'
