#!/bin/bash
# Guards against programs that start with an invalid setting, ignore it, or
# exit without naming the remedy.  Every case must exit with status 1 before
# any socket is opened, and its message must contain the given texts: setting,
# value, range and remedy.
#   test/cli_test.sh [BUILD_DIRECTORY]
set -u
cd "$(dirname "$0")/.." || exit 1
bin=${1:-build}/bin
# Time limit in seconds of a program that wrongly starts.
limit=60
cases=0 failed=0

# fails "VARIABLE=VALUE..." "PROGRAM ARGUMENT..." TEXT...
fails() {
	local vars=$1 command=$2 out status text bad=
	shift 2
	# shellcheck disable=SC2086
	out=$(env -i $vars timeout "$limit" "$bin"/$command 2>&1 >/dev/null </dev/null)
	status=$?
	cases=$((cases + 1))
	[ "$status" = 1 ] || bad="status $status instead of 1"
	case $out in
	"${command%% *}: "*) ;;
	*) bad="$bad; no message of the program" ;;
	esac
	[ "$(printf '%s\n' "$out" | wc -l)" = 1 ] || bad="$bad; more than one line"
	for text; do
		case $out in
		*"$text"*) ;;
		*) bad="$bad; no \"$text\"" ;;
		esac
	done
	[ -z "$bad" ] && return
	failed=$((failed + 1))
	printf 'FAILED: %s %s: %s\n%s\n' "$vars" "$command" "${bad#; }" "$out"
}

url=http://127.0.0.1:1
node="ptnode --instance a --domain d --host 127.0.0.1 --log-url $url"
load="ptload --url $url"
kind=lookup:GET:/lookup:50:256

# A flag that does not exist.
for p in ptnode ptctl ptburn ptlog ptback ptload; do
	fails "" "$p --nosuch" "Unknown option --nosuch" --help
	fails "" "$p --nosuch=1" "Unknown option --nosuch" --help
done

# A flag without its value.
for c in "ptnode --rpc-port" "ptctl --node" "ptburn --rounds" "ptlog --port" \
    "ptback --slots" "ptload --url"; do
	fails "" "$c" "Missing argument for ${c#* }" --help
done

# An environment variable that does not exist, has an old name or is mistyped.
fails PTNODE_NOSUCH=1 "$node" PTNODE_NOSUCH "is not a setting" unset --help
fails PTNODE_RPCPORT=7400 "$node" PTNODE_RPCPORT "is not a setting"
fails PTNODE_rpc_port=7400 "$node" PTNODE_rpc_port "is not a setting"
fails PTCTL_NOSUCH=1 "ptctl --node 127.0.0.1:1 status" PTCTL_NOSUCH \
    "is not a setting" unset PTCTL_NODE
fails PTBURN_NOSUCH=1 "ptburn --nodes 127.0.0.1:1" PTBURN_NOSUCH unset --help
fails PTLOG_NOSUCH=1 ptlog PTLOG_NOSUCH unset --help
fails PTBACK_NOSUCH=1 ptback PTBACK_NOSUCH unset --help
fails PTLOAD_NOSUCH=1 "$load $kind" PTLOAD_NOSUCH unset --help

# A required setting is missing.
fails "" ptnode "setting instance is missing" --instance PTNODE_INSTANCE
fails "" "ptnode --instance a" "setting domain is missing" --domain PTNODE_DOMAIN
fails "" "ptnode --instance a --domain d" "setting host is missing" --host PTNODE_HOST
fails "" "ptnode --instance a --domain d --host 127.0.0.1" \
    "setting log-url is missing" --log-url PTNODE_LOG_URL
fails "" "ptctl status" "setting node is missing" --node PTCTL_NODE HOST:PORT
fails "" ptctl "no command" --help
fails "" "ptctl nosuch" "unknown command nosuch" --help
fails "" "ptctl --node 127.0.0.1:1 plan" "command plan" "0 arguments" "takes 1 to 1" --help
fails "" "ptctl check" "command check" "0 arguments" "takes 1 to 1" --help
fails "" "ptctl --node=x check deploy/skates.conf" 'setting node is "x"' HOST:PORT
fails "" "ptctl check /nosuch" /nosuch "give a declarations file"
fails "" ptburn "nodes and from are missing" --nodes --from HOST:PORT
fails "" ptload "setting url is missing" --url PTLOAD_URL
fails "" "$load" "no kind" "lookup:GET:/lookup:50:256"

# Integers just outside their range, and values that are not integers:
# PROGRAM|SETTING|LOW|HIGH.
while IFS='|' read -r p s low high; do
	for v in $((low - 1)) $((high + 1)) many 1.5 1x ""; do
		[ -n "$v" ] || continue
		fails "" "$p --$s=$v" "setting $s is \"$v\"" \
		    "a whole number from $low to $high"
	done
	[ "${p%% *}" = ptctl ] && continue
	var=${p%% *}_${s//-/_}
	fails "${var^^}=many" "$p" "setting $s is \"many\"" \
	    "a whole number from $low to $high"
done <<END
$node|rpc-port|1|65535
$node|gossip-port|1|65535
$node|http-port|1|65535
$node|admin-port|1|65535
$node|log-retention|1|2592000
$node|announce-timeout|1000|600000
$node|drain-notice|0|60000
$node|keep-alive|0|600000
$node|key-table|1024|4194304
ptctl --node 127.0.0.1:1 status|timeout-ms|1|600000
ptburn --nodes 127.0.0.1:1|interval|1|3600
ptburn --nodes 127.0.0.1:1|rounds|1|1000000
ptburn --nodes 127.0.0.1:1|timeout-ms|100|60000
ptlog|port|1|65535
ptlog|retention-ms|100|2147483647
ptlog|retention-count|1|10000000
ptlog|appends-per-second|1|1000000
ptlog|max-record|1|262144
ptback|port|1|65535
ptback|slots|1|10000
ptback|queue|0|10000
ptback|connections|1|100000
ptback|boot-ms|0|600000
ptback|warm-ms|0|600000
ptback|warm-factor|1|1000
ptback|service-us|0|60000000
ptback|seed|0|2147483647
ptback|size|0|268435456
ptback|health-lag-ms|0|600000
ptback|drain-ms|0|600000
$load $kind|seconds|1|3600
$load $kind|seed|1|2147483647
$load $kind|timeout-ms|1|600000
$load $kind|connections|1|10000
$load $kind|deadline-ms|0|600000
END

# Invalid keywords, names, addresses and URLs.
fails "" "$node --admission=best" 'setting admission is "best"' "rank, fifo, strict"
fails "" "$node --distribution=push" 'setting distribution is "push"' "tree, poll"
fails "PRIMROSETIDE_BOOT=/nonexistent" ptproxy "cannot read the settings file" PRIMROSETIDE_BOOT
fails "PTPROXY_LOUD=1" ptproxy PTPROXY_LOUD
for p in "$node" ptproxy ptlog ptback; do
	fails "" "$p --log-level=loud" 'setting log-level is "loud"' error warning info debug
done
for s in instance domain region; do
	fails "" "$node --$s=a/b" "setting $s is \"a/b\"" "1 to 64 letters"
	fails "" "$node --$s=" "setting $s is \"\"" "1 to 64 letters"
	fails "" "$node --$s=$(printf '%065d' 0)" "setting $s is" "1 to 64 letters"
done
for v in localhost 127.0.0.1:80 ""; do
	fails "" "$node --host=$v" "setting host is \"$v\"" "numeric IP address"
done
for p in ptlog ptback; do
	fails "" "$p --host=localhost" 'setting host is "localhost"' "IP number"
done
# A node that accepts a URL without a host starts and waits for ever.
for v in https://127.0.0.1:1 127.0.0.1:1 http:// nonsense; do
	fails "" "$node --log-url=$v" "setting log-url is \"$v\"" http://ADDRESS:PORT
	fails "" "ptback --announce=$v" "setting announce is \"$v\"" http://ADDRESS:PORT
	fails "" "ptload --url=$v $kind" "setting url is \"$v\"" http://ADDRESS:PORT
done
fails "" "$node --log-url=http://localhost:1" \
    'setting log-url is "http://localhost:1"' "numeric address"
for v in 127.0.0.1 127.0.0.1:7400 127.0.0.1:0:1 127.0.0.1:1:65536 a:1:1; do
	fails "" "$node --seed=$v" "setting seed is \"$v\"" \
	    ADDRESS:RPC_PORT:GOSSIP_PORT "1 to 65535"
done
for v in localhost:1 127.0.0.1 127.0.0.1:0 127.0.0.1:65536; do
	fails "" "ptctl --node=$v status" "setting node is \"$v\"" HOST:PORT "1 to 65535"
	fails "PTCTL_NODE=$v" "ptctl status" "setting node is \"$v\"" HOST:PORT
done
for v in -1 100 most; do
	fails "" "ptburn --nodes 127.0.0.1:1 --objective=$v" \
	    "setting objective is \"$v\"" "0 to 99.999"
done
fails "" "ptburn --nodes 127.0.0.1:1 --json=yes" 'setting json is "yes"' "true or false"
fails "" "ptback --health-lie=yes" 'setting health-lie is "yes"' "true or false"
fails "" "$load --json=yes $kind" 'setting json is "yes"' "true or false"
fails "" "ptback --spread=wide" 'setting spread is "wide"' fixed uniform exponential
fails "" "$load lookup" 'kind "lookup"' NAME:METHOD:PATH
fails "" "$load lookup:GET:/lookup:0:256" 'kind "lookup:GET:/lookup:0:256"' "give for example"

# Settings that exclude each other, and unexpected arguments.
fails "" "$node --rpc-port=8400" "rpc-port (8400)" "http-port (8400)" "must differ" change
for p in "$node" ptproxy ptburn ptlog ptback; do
	fails "" "$p extra" "\"extra\"" --help
done
for f in prune wait undo; do
	fails "" "ptctl --node 127.0.0.1:1 --$f status" "status takes no --$f" remove
done

echo "cli_test: $cases cases, $failed failed"
[ "$failed" = 0 ]
