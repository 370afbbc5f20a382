#!/bin/sh
# Builds the stand-ins of the cases below target/review. Needs what the service's build needs.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/case*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -o "target/review/$name" "$source"
done
