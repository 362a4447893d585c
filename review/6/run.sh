#!/bin/sh
# DRAIN: open connections to the store go silent while a replica's entry is removed. Exit code: see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-2/case-6 ] && [ -x target/platform/banyancroft-gateway ] || exit 2
exec target/review-2/case-6 review/6/record.txt
