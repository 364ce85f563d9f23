#!/usr/bin/env bash
# Runs every benchmark; speed is given as ratios within one run.
set -u
cd "$(dirname "$0")/.."
status=0
.venv/bin/python scripts/bench_requests.py || status=1
.venv/bin/python scripts/bench_placement.py || status=1
exit "$status"
