#!/bin/bash
# Runs the case $1, whose record goes into the folder $2, and ends all processes that it started.
cd "$(dirname "$0")/.." || exit 2
driver=target/review/release/review-standins
if [ ! -x "$driver" ] || [ ! -x target/release/dragonflyrill-gateway ]; then
    echo "the case could not run: build the deploy file and review/build.sh first"
    exit 2
fi
# The driver and the hosts that it starts are a process group of their own.
set -m
timeout 115 "$driver" "$1" "$2/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
status=$?
case "$status" in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
