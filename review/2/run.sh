#!/usr/bin/env bash
# Runs case 2; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/banyancroft-gateway ] && [ -x target/review/case-2 ] || {
    echo "build the deploy file and review/build.sh first" >&2
    exit 2
}
timeout --kill-after=5 110 target/review/case-2 review/2/record.txt
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
