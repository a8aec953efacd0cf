#!/usr/bin/env bash
# Plays the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/shallotgap ] && [ -x target/review-cases ] || { echo "build target/shallotgap and run review/build.sh first"; exit 2; }
exec target/review-cases revived target/shallotgap review/5/record.txt
