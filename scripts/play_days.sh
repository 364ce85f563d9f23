#!/usr/bin/env bash
# Plays the days of deploy/days on a site, and of deploy/days/grown on a grown one.
# Usage: scripts/play_days.sh SITE "WHY" [SEED]
# SITE is a sheet of the users' kit, such as further/atlasform-prod or grown/sukls-onyx-grown.
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
bench=$kit/more/bench-9713e2/bin/fleetbench
site=$1
why=$2
seed=${3:-}
days=deploy/days
if [[ $site == *-grown ]]; then
    days=deploy/days/grown
fi
for day in "$days"/*.toml; do
    "$bench" run "$kit/$site.toml" "$day" ${seed:+--seed "$seed"} --why "$why" |
        grep -A6 "^day  \|BROKEN" | grep -v "^day  \|^$\|^worth\|^  -" | cut -c1-240
done
