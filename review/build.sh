#!/usr/bin/env bash
# Builds the stand-ins of the cases, from the root of the repository or anywhere else.
set -euo pipefail
cd "$(dirname "$0")/.."
CGO_ENABLED=1 go build -buildvcs=false -ldflags=-linkmode=external -o target/review-standin ./review/standin
