#!/usr/bin/env bash
# Plays the case with the programs that the build of the deploy file and review/build.sh have left.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/dunetide ] && [ -x target/review-standin ] || { echo "build first: the deploy file's build and review/build.sh"; exit 2; }
exec target/review-standin reused-name "$folder"
