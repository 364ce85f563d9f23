#!/usr/bin/env bash
# Plays the days of deploy/days on a site.  Usage: scripts/play_days.sh SITE "WHY" [SEED]
set -u
cd "$(dirname "$0")/.." || exit 2
kit=../given/kit/more/system
site=$1
why=$2
seed=${3:-}
for day in deploy/days/*.toml; do
    "$kit/bin/fleetbench" run "$kit/sites/$site-onyx.toml" "$day" ${seed:+--seed "$seed"} --why "$why" |
        grep -A6 "^day  " | grep -v "^day  \|^$\|^worth\|^  -" | cut -c1-200
done
