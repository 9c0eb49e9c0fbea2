#!/bin/sh
# Builds the stand-ins and cases of review/6 to review/10 into review/build/2. Needs the JDK alone.
set -eu
cd "$(dirname "$0")/.."
rm -rf review/build/2
mkdir -p review/build/2
javac -nowarn -cp "target/lib/*" -d review/build/2 review/standins-2/*.java
