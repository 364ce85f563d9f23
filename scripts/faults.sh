#!/usr/bin/env bash
# Real processes under load, one fault (or two at once) a scenario; one line each.
# Exits 0 only where no promise is broken. Usage: scripts/faults.sh [DEPLOYMENT [SCENARIO ...]]
set -u
deployment=${1:-klimaplan}
shift || true
cd "$(dirname "$0")/.." || exit 2
bin=${BIN:-.venv/bin}
config=deploy/$deployment/cell.yaml
topology="$bin/python -m onyxspoke.cli.topology --config $config"
read -r -a entries <<<"$($topology entries)"
read -r -a zones <<<"$($topology zones)"
first=${entries[0]}
second=${entries[1]}
last=${entries[-1]}
. scripts/processes.sh
trap stop_all EXIT

begin_entry() {
    start "$1" "$bin/onyxspoke-entry" --config "$config" --name "$1" --cuts "$run/cuts-$1"
}

begin_cell() {
    mkdir -p "$run/journal" "$run/logs"
    start platform "$bin/onyxspoke-platform" --config "$config"
    for zone in "${zones[@]}"; do
        start "workers-$zone" "$bin/onyxspoke-worker" --config "$config" --zone "$zone" --journal "$run/journal"
    done
    for entry in "${entries[@]}"; do begin_entry "$entry"; done
    $topology wait
}

# cut ZONE OTHER: every entry of either zone drops and refuses connections to the other.
cut() {
    for entry in "${entries[@]}"; do
        case $(entry_zone "$entry") in
            "$1") echo "$2" >>"$run/cuts-$entry" ;;
            "$2") echo "$1" >>"$run/cuts-$entry" ;;
        esac
    done
}

heal() { rm -f "$run"/cuts-*; }

entry_zone() {
    for zone in "${zones[@]}"; do
        case $1 in "${zone#hala-}"-* | "$zone"-*) echo "$zone" ;; esac
    done
}

fault_none() { sleep 4; }
fault_kill_entry() { signal KILL "$first"; sleep 8; begin_entry "$first"; }
fault_pause_entry() { signal STOP "$second"; sleep 7; signal CONT "$second"; }
fault_stop_entry() { signal TERM "$last"; sleep 6; begin_entry "$last"; }
fault_rolling() { for entry in "${entries[@]:0:4}"; do signal TERM "$entry"; sleep 2; begin_entry "$entry"; sleep 1; done; }
fault_log_outage() { signal USR1 platform; sleep 8; signal USR1 platform; }
fault_log_frozen() { signal STOP platform; sleep 4; signal CONT platform; }
fault_slow_log() { signal HUP platform; sleep 8; signal HUP platform; }
fault_lost_answers() { signal USR2 platform; sleep 8; signal USR2 platform; }
fault_pause_workers() { signal STOP "workers-${zones[0]}"; sleep 3; signal CONT "workers-${zones[0]}"; }
fault_cut_platform() { cut "${zones[0]}" platform; sleep 9; heal; }
fault_cut_zones() { cut "${zones[0]}" "${zones[1]}"; sleep 9; heal; }
fault_cut_both() { cut "${zones[0]}" platform; cut "${zones[0]}" "${zones[1]}"; sleep 9; heal; }
fault_kill_and_outage() { signal KILL "$first"; signal USR1 platform; sleep 6; signal USR1 platform; begin_entry "$first"; }
fault_pause_and_kill() { signal STOP "$second"; signal KILL "$first"; sleep 7; signal CONT "$second"; begin_entry "$first"; }

all="none kill_entry pause_entry stop_entry rolling log_outage log_frozen slow_log lost_answers
pause_workers cut_platform cut_zones cut_both kill_and_outage pause_and_kill"
failures=0
scenarios=${*:-$all}
for scenario in $scenarios; do
    run=run/faults-$deployment/$scenario
    rm -rf "$run"
    begin_cell || { echo "$scenario: the cell did not come up"; failures=$((failures + 1)); stop_all; continue; }
    "$bin/onyxspoke-load" run --config "$config" --out "$run" --rate 120 --duration 16 2>"$run/logs/load.log" &
    load=$!
    sleep 3
    (sleep 0.5 && $topology recover >"$run/recovery") &
    recover=$!
    "fault_$scenario"
    wait "$recover"
    recovery=$(<"$run/recovery")
    wait "$load" || { echo "$scenario: the load failed; see $run/logs/load.log"; failures=$((failures + 1)); }
    stop_all
    "$bin/onyxspoke-load" audit --out "$run" --journal "$run/journal" --label "$scenario" >"$run/audit.txt" || failures=$((failures + 1))
    head -n -1 "$run/audit.txt"
    echo "$(tail -n 1 "$run/audit.txt"), all workers attached ${recovery} s after the fault began"
done
trap - EXIT
echo "faults $deployment: $(wc -w <<<"$scenarios") scenarios, $failures with broken promises"
[ "$failures" -eq 0 ]
