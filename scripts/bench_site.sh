#!/usr/bin/env bash
# Scores sites one after the other.  Usage: scripts/bench_site.sh "WHY" SITE...
# SITE is a sheet of the users' kit, such as further/atlasform-prod or grown/sukls-onyx-grown.
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
bench=$kit/more/bench-0d00f8/bin/fleetbench
why=$1
shift
for site in "$@"; do
    "$bench" score "$kit/$site.toml" --jobs 6 --why "$why" | cut -c1-200 | grep -v "^seen\|^built\|^snapshot\|^a change"
done
