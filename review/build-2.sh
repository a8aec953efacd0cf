#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review 2 start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/stage ./review/stage
