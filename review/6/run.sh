#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case couldn't run.  TROUBLE=0: no worker crashes.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
