#!/usr/bin/env bash
# Scores sites one after the other.  Usage: scripts/bench_site.sh "WHY" [SITE...]
# SITE is a sheet of the users' kit, such as further/atlasform-prod; by default those whose scores are
# watched for a fall.  A day of the large site takes 3 GB, so three of them are played at once.
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
bench=$kit/more/bench-93cd67/bin/fleetbench
why=$1
shift
if (($# == 0)); then
    set -- shifted/sukls-onyx-now-grown large/sukls-onyx-large further/atlasform-prod further-grown/atlasform-prod-grown \
        grown/sukls-onyx-grown grown/tarjeteo-onyx-grown
fi
for site in "$@"; do
    jobs=6
    if [[ $site == large/* ]]; then
        jobs=3
    fi
    "$bench" score "$kit/$site.toml" --jobs "$jobs" --why "$why" | cut -c1-200 |
        grep -v "^seen\|^built\|^snapshot\|^a change"
done
