#!/usr/bin/env bash
# Starts the platform, the workers and the entries of one deployment as plain processes,
# drives them with load, stops all of them, and audits what callers were told.
# Usage: scripts/demo.sh DEPLOYMENT
set -u
deployment=${1:-klimaplan}
label=${LABEL:-demo}
cd "$(dirname "$0")/.." || exit 2
bin=${BIN:-.venv/bin}
config=deploy/$deployment/cell.yaml
run=${RUN_DIR:-run/$label-$deployment}
rm -rf "$run"
mkdir -p "$run/journal" "$run/logs"
. scripts/processes.sh
trap stop_all EXIT

start platform "$bin/onyxspoke-platform" --config "$config"
for zone in $("$bin/python" -m onyxspoke.cli.topology --config "$config" zones); do
    start "workers-$zone" "$bin/onyxspoke-worker" --config "$config" --zone "$zone" --journal "$run/journal"
done
for entry in $("$bin/python" -m onyxspoke.cli.topology --config "$config" entries); do
    start "$entry" "$bin/onyxspoke-entry" --config "$config" --name "$entry"
done
"$bin/python" -m onyxspoke.cli.topology --config "$config" wait || { echo "$label: the cell did not come up; see $run/logs"; exit 1; }
"$bin/onyxspoke-load" run --config "$config" --out "$run" ${LOAD_ARGUMENTS:-} 2>"$run/logs/load.log" || { cat "$run/logs/load.log"; exit 1; }
"$bin/onyxspoke-load" report --out "$run"
stop_all
trap - EXIT
"$bin/onyxspoke-load" audit --out "$run" --journal "$run/journal" --label "$label"
