#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, into target/review-2/.
# Needs the build of the deploy file and its packages, and no network.
set -e
cd "$(dirname "$0")"
mkdir -p ../target/review-2
for case in 6 7 8 9 10; do
  if [ -f "$case/scenario.cpp" ]; then
    g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags jsoncpp) "$case/scenario.cpp" \
      -o "../target/review-2/case-$case" $(pkg-config --libs jsoncpp) -pthread
  fi
done
