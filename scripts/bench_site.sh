#!/usr/bin/env bash
# Scores sites one after the other.  Usage: scripts/bench_site.sh "WHY" SITE... (sukls tarjeteo)
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
why=$1
shift
for site in "$@"; do
    "$kit/bin/fleetbench" score "$kit/sites/$site-onyx.toml" --jobs 6 --why "$why" | cut -c1-200 | grep -v "^seen\|^built\|^snapshot\|^a change"
done
