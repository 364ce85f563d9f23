# Sourced by the run scripts: starts processes and stops just those, by their ids.
# Expects $run, the directory of the run.
pids=()
names=()

start() {
    local name=$1
    shift
    "$@" >"$run/logs/$name.log" 2>&1 &
    pids+=($!)
    names+=("$name")
}

# Stops everything started, entries first: the last started is the first to go.
stop_all() {
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        kill -TERM "${pids[index]}" 2>/dev/null
        if [[ ${names[index]} == workers-* || ${names[index]} == platform ]]; then
            wait "${pids[index]}" 2>/dev/null
        fi
    done
    wait
    pids=()
    names=()
}
