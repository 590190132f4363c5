#!/bin/sh
# Builds the stand-ins and the cases. Needs the JDK alone; no network.
set -e
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
find lib [0-9]* -name '*.java' > build/sources
javac -nowarn -d build @build/sources
