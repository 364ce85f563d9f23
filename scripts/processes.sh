# Sourced by the run scripts: starts processes and signals or stops just those, by their ids.
# Expects $run, the directory of the run.
pids=()
names=()

start() {
    local name=$1
    shift
    "$@" >>"$run/logs/$name.log" 2>&1 &
    pids+=($!)
    names+=("$name")
}

# signal NAME_OF_SIGNAL PROCESS: sends a signal to the latest process of that name.
signal() {
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        if [[ ${names[index]} == "$2" ]]; then
            kill -"$1" "${pids[index]}"
            return
        fi
    done
}

# Stops everything started, entries first and the platform last; none is waited for longer
# than STOP_SECONDS.
stop_all() {
    local index pid
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        pid=${pids[index]}
        if [[ ${names[index]} == workers-* || ${names[index]} == platform ]]; then
            wait_for_entries
        fi
        kill -TERM "$pid" 2>/dev/null
    done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null; done
    pids=()
    names=()
}

STOP_SECONDS=15

wait_for_entries() {
    local index deadline=$((SECONDS + STOP_SECONDS))
    for ((index = 0; index < ${#pids[@]}; index++)); do
        [[ ${names[index]} == workers-* || ${names[index]} == platform ]] && continue
        while kill -0 "${pids[index]}" 2>/dev/null && ((SECONDS < deadline)); do sleep 0.1; done
        kill -KILL "${pids[index]}" 2>/dev/null
    done
}
