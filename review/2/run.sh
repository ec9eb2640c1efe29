#!/usr/bin/env bash
# Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the freeze.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case2 ] && [ -x target/citronhitch ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec timeout -k 2 115 target/review/case2 target/citronhitch review/2/record.txt
