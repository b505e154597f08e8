#!/bin/bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/rig3 ] && [ -x target/bin/ptproxy ] || exit 2
exec target/review/rig3 12 target/bin/ptproxy review/12/record.txt \
    "${TROUBLE:-1}"
