#!/bin/sh
# Runs the program of a case: run-case.sh CASE PROGRAM. Ends what it has started.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/$2
[ -x "$program" ] && [ -x target/release/dragonflyrill-gateway ] || { echo "build first"; exit 2; }
temp=$(mktemp -d) || exit 2
"$program" "$PWD" "$PWD/review/$1" "$temp" &
driver=$!
end() {
    kill -9 "$driver" 2>/dev/null
    # The ids of the processes that the program has started.
    [ -f "$temp/pids" ] && while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$temp/pids"
}
trap 'end; rm -rf "$temp"; exit 2' INT TERM HUP
wait "$driver"
code=$?
end
rm -rf "$temp"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
