#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
if [ ! -x ../../target/release/quillramp ]; then
    echo "could not run: target/release/quillramp is missing; the line 'build' of deploy/balancer.toml makes it"
    exit 2
fi
timeout -k 5 100 python3 -B case.py
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
