#!/bin/sh
# Builds what the cases 6 to 10 start beside the programs of the deploy file. Their other stand-ins are Python scripts.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked -p quillramp-counter
