#!/usr/bin/env bash
# Plays the case in claim.txt; TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
# In a process group of its own, so that nothing of the case outlives this script, however it ends.
set -m
review/harness/target/release/review-cases retraction "$folder" &
group=$!
cleanup() {
    kill -KILL -- "-$group" 2>/dev/null
    rm -rf -- "${TMPDIR:-/tmp}/review-$group"
}
trap cleanup EXIT
trap 'exit 2' HUP INT TERM
wait "$group"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
