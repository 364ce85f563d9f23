#!/usr/bin/env bash
# Explores fault schedules of both deployments on every core. Usage: scripts/explore.sh [SEEDS]
set -u
seeds=${1:-200}
cd "$(dirname "$0")/.." || exit 2
bin=${BIN:-.venv/bin}
chunk=25
for deployment in klimaplan motor-estudio; do
    for ((first = 1; first <= seeds; first += chunk)); do
        count=$((seeds - first + 1 < chunk ? seeds - first + 1 : chunk))
        echo "$deployment $first $count"
    done
done | xargs -P "$(nproc)" -L 1 bash -c \
    '"$0" explore --deployment "$1" --first-seed "$2" --seeds "$3"' "$bin/onyxspoke-sim"
for ((first = 1; first <= seeds; first += chunk)); do
    echo "$first $((seeds - first + 1 < chunk ? seeds - first + 1 : chunk))"
done | xargs -P "$(nproc)" -L 1 bash -c \
    '"$0" explore-jobs --first-seed "$1" --seeds "$2" --shards "${SHARDS:-1}"' "$bin/onyxspoke-sim"
# Overloaded cells, cells whose nodes all stop, cuts of zones, holders that return: some seconds a seed, so fewer at a time.
chunk=5
for mode in overload stops zones returns; do
    for ((first = 1; first <= seeds; first += chunk)); do
        echo "$mode $first $((seeds - first + 1 < chunk ? seeds - first + 1 : chunk))"
    done
done | xargs -P "$(nproc)" -L 1 bash -c \
    '"$0" explore-jobs --"$1" --first-seed "$2" --seeds "$3" --shards "${SHARDS:-1}"' \
    "$bin/onyxspoke-sim"
