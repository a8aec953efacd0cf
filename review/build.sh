#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-cases ./review/cases
