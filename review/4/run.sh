#!/usr/bin/env bash
# Exits with 1 if DRAIN was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the cut.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case4 ] && [ -x target/citronhitch ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review/case4 target/citronhitch review/4/record.txt
