#!/usr/bin/env bash
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
set -u
cd "$(dirname "$0")/../.."
java -Xmx1g -cp target/review-2 LateCopy review/5 &
child=$!
trap 'kill "$child" 2>/dev/null; wait "$child" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
wait "$child"
