#!/usr/bin/env bash
# Builds the stand-ins and the cases 4 to 8 of the review of December 2026. Needs the JDK alone, and no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
javac --release 17 -nowarn -d target/review-2 review/standin-2/*.java
