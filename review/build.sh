#!/usr/bin/env bash
# The stand-ins are Python modules: nothing is compiled, each must be importable.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:src:. python3 - <<'END'
import importlib

for name in (
    "direct_documents",
    "direct_fleet",
    "direct_replicas",
    "direct_store",
    "direct_weights",
    "raw_http",
):
    importlib.import_module(f"standins.{name}")
importlib.import_module("review.support")
END
