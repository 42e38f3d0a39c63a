#!/usr/bin/env bash
# 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=target/review-2/case$(basename "$here")
[ -x target/bin/almondridge ] && [ -x "$program" ] || { echo 'run the build of the deploy file and review/build-2.sh first' >&2; exit 2; }
FOLDER=$(mktemp -d) || exit 2
export FOLDER RECORD="$here/record.txt"
timeout -k 5 115 "$program"
status=$?
[ -n "${KEEP:-}" ] && cp "$FOLDER"/*.log "$KEEP"/ 2>/dev/null
rm -rf "$FOLDER"
[ "$status" -le 1 ] && exit "$status"
exit 2
