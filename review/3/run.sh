#!/bin/sh
# Case 3: exit 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0: the same without the stops.
cd "$(dirname "$0")/../.." || exit 2
if [ -f target/deps/.complete ]; then
    PYTHON=python3
    PYTHONPATH="$PWD/target/deps:$PWD/src"
elif [ -x .venv/bin/python ]; then
    PYTHON="$PWD/.venv/bin/python"
    PYTHONPATH="$PWD/src"
else
    echo "neither target/deps nor .venv is there: build first" >&2
    exit 2
fi
export PYTHONPATH
exec "$PYTHON" review/3/drive.py
