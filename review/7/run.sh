#!/bin/sh
# Plays the case on real processes; exit 1: the rule was broken, 0: it held, 2: it couldn't
# run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
harness="$root/target/review-2/harness"
[ -x "$harness" ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
REVIEW_PIDS=$(mktemp)
export REVIEW_PIDS
"$harness" case crashed "$root" "$folder/record.txt" &
main=$!
trap 'kill -9 $main $(cat "$REVIEW_PIDS") 2>/dev/null; rm -f "$REVIEW_PIDS"; exit 2' TERM INT
wait $main
code=$?
if [ $code -gt 2 ]; then
    # The time was over, so the driver was ended before it could end the others.
    kill -9 $(cat "$REVIEW_PIDS") 2>/dev/null
    code=2
fi
rm -f "$REVIEW_PIDS"
exit $code
