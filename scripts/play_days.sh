#!/usr/bin/env bash
# Plays the days of deploy/days on a site, and of deploy/days/grown on a grown one.
# Usage: scripts/play_days.sh SITE "WHY" [SEED], SITE being sukls, sukls-grown and so on.
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
site=$1
why=$2
seed=${3:-}
sheet=$kit/sites/$site-onyx.toml
days=deploy/days
if [[ $site == *-grown ]]; then
    sheet=$kit/grown/${site%-grown}-onyx-grown.toml
    days=deploy/days/grown
fi
for day in "$days"/*.toml; do
    "$kit/bin/fleetbench" run "$sheet" "$day" ${seed:+--seed "$seed"} --why "$why" |
        grep -A6 "^day  \|BROKEN" | grep -v "^day  \|^$\|^worth\|^  -" | cut -c1-240
done
