#!/usr/bin/env bash
# Runs every benchmark; speed is given as ratios within one run.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python scripts/bench_requests.py
