#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/build, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -Xlint:all -Werror -encoding UTF-8 -cp ../target/lib/hpack-1.0.2.jar -d build standins/*.java
