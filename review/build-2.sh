#!/bin/sh
# Builds the stand-ins and the tests of review/6 to review/10 into review/standins-2/build, after the build of
# the deploy file. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/standins-2/build
mkdir -p review/standins-2/build
javac -nowarn -encoding UTF-8 -cp "target/lib/*" -d review/standins-2/build review/standins-2/*.java
