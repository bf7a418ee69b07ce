#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
for program in quillramp; do
    if [ ! -x "../../../target/release/$program" ]; then
        echo "not run: target/release/$program is missing; deploy/balancer.toml and review/build-2.sh build it"
        exit 2
    fi
done
python3 -c 'import sys, tomllib' || { echo "not run: Python 3.11 is needed"; exit 2; }
exec python3 -B case.py
