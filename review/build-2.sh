#!/usr/bin/env bash
# Builds the stand-in of the cases of the second review, from the root of the repository or anywhere else.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/review-standin-2 ./review/standin2
