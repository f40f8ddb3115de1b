#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/ into review/bin. Needs g++ and the header of nlohmann-json3-dev, which the build of the deploy file needs too.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in standins/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -pthread -o "bin/$name" "$source" &
done
wait
for source in standins/*.cc; do
    [ -x "bin/$(basename "$source" .cc)" ]
done
