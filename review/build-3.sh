#!/usr/bin/env bash
# Builds the programs of the cases 11 to 15, with all their stand-ins, into target/. The program under test is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
for n in 11 12 13 14 15; do
  if [ -f "review/$n/main.go" ]; then
    go build -tags review -o "target/review-$n" "./review/$n"
  fi
done
