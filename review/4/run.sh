#!/usr/bin/env bash
# Plays the case with the programs that the build of the deploy file and review/build-2.sh have left. With TROUBLE=0 in the
# environment it does the same without the disruption. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/dunetide ] && [ -x target/review-standin-2 ] || { echo "build first: the deploy file's build and review/build-2.sh"; exit 2; }
trouble=1
if [ "${TROUBLE:-1}" = 0 ]; then
	trouble=0 # without the disruption
fi
TROUBLE=$trouble exec target/review-standin-2 forgotten-removal "$folder"
