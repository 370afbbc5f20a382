#!/bin/sh
# Builds the stand-ins of the cases 4 to 8: one program a case, under target/review-2.
cd "$(dirname "$0")/.." || exit 1
mkdir -p target/review-2
for source in review/[4-8]/case.cc; do
  name=$(basename "$(dirname "$source")")
  ${CXX:-c++} -std=c++20 -O2 -Wall -Wextra -o "target/review-2/case-$name" "$source" || exit 1
done
