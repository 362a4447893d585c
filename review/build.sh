#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/. Needs the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/review
mkdir -p target/review
flags=(-std=c++20 -O1 -g -Wall -Wextra -pthread)
objects=()
for source in review/standin/*.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
wait
for source in review/[1-5]/case.cpp; do
    number=$(basename "$(dirname "$source")")
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "target/review/case-$number" &
done
wait
for source in review/[1-5]/case.cpp; do
    [ -x "target/review/case-$(basename "$(dirname "$source")")" ]
done
