#!/bin/bash
# Builds the stand-ins that the scripts of the third review start, into
# target/.  The nodes are built by the command of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${CC:-cc}" -std=gnu11 -O2 -Wall -Wextra -pthread \
    -o target/review/rig3 review/rig3.c review/cases3.c
