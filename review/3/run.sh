#!/usr/bin/env bash
# Exits with 1 if ROUTE was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the removal of the tenant (another change of the config takes its place).
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case3 ] && [ -x target/citronhitch ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
exec target/review/case3 target/citronhitch review/3/record.txt
