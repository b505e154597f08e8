#!/bin/bash
# Guards against violated guarantees of real nodes under faults: runs short soaks
# with fixed seeds and with every seed that has failed, and checks that the soak
# detects deliberate faults.
#   test/soak_test.sh [BUILD_DIRECTORY [BUILD_DIRECTORY_WITH_FAULTS]]
set -u
cd "$(dirname "$0")/.." || exit 1
build=${1:-build} mutants=${2:-build-mutants}
soak=$build/bin/soak failed=0

# Lines of soak_seeds.txt: SEED PLANNED NODES # CAUSE.
while read -r seed planned nodes _; do
	case $seed in "" | \#*) continue ;; esac
	"$soak" --seed "$seed" --planned "$planned" --nodes "$nodes" \
	    --proxy "$build/bin/ptproxy" || failed=1
done <test/soak_seeds.txt

# Guards against a soak that fails because a concurrent one, or a connection of
# it, uses its addresses: both soaks try the same network first.
"$soak" --net 100 --nodes 2 --seconds 2 --proxy "$build/bin/ptproxy" &
"$soak" --net 100 --nodes 2 --seconds 2 --proxy "$build/bin/ptproxy" ||
    failed=1
wait $! || failed=1

# Faults by number in port.h: 11 sends calls to a leaving upstream, 12 stops
# without waiting for calls.
detects() {
	local fault=$1 planned=$2 seed
	for seed in 1 2 3 4 5; do
		PT_MUTANT=$fault "$soak" --seed "$seed" --planned "$planned" \
		    --proxy "$mutants/bin/ptproxy" >/dev/null 2>&1 || return 0
	done
	echo "FAILED: the soak does not detect deliberate fault $fault"
	failed=1
}
detects 11 false
detects 12 true
exit "$failed"
