#!/usr/bin/env bash
# Builds the stand-ins and the cases. Needs the build of the deploy file, whose libraries the stand-ins use.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf build
mkdir -p build
javac -nowarn -d build -cp "../target/lib/*" standin/*.java [0-9]/*.java
