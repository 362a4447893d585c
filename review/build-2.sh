#!/bin/bash
# Builds the programs of review/6 to review/10, with the stand-ins that they start, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
jobs=()
for source in review/standin-2/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    jobs+=($!)
done
for job in "${jobs[@]}"; do
    wait "$job"
done
shopt -s nullglob
for source in review/*/case-2.cpp; do
    name=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "$out"/*.o -o "$out/case-$name"
done
