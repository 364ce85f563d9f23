#!/bin/sh
# Exit 0: the rule held, 1: it was broken, 2: the case couldn't run.  TROUBLE=0: without the large job.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
