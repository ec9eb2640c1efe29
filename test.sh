#!/usr/bin/env bash
# The test command of the README. Tests named in KNOWN-RED.txt are run apart, printed, and don't decide.
# Seeds are fixed here and printed, so that each run gives the same verdict.
set -euo pipefail
cd "$(dirname "$0")"
export CITRONHITCH_SEED="${CITRONHITCH_SEED:-20261203}"
rapid_seed="${RAPID_SEED:-20261203}"
echo "seeds: CITRONHITCH_SEED=$CITRONHITCH_SEED rapid=$rapid_seed"

# An entry of KNOWN-RED.txt starts with "test: Package TestName".
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^test: *[^ ]* *\(Test[A-Za-z0-9_]*\).*/^\1$/p' KNOWN-RED.txt | paste -sd'|' -)
fi

# Only packages that use rapid know its flags.
rapid_pkgs=$(go list -f '{{if or (len .TestGoFiles) (len .XTestGoFiles)}}{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}{{end}}' ./... | awk '/pgregory.net\/rapid/{print $1}')
other_pkgs=$(go list ./... | grep -vxF "${rapid_pkgs:-none}" || true)

status=0
if [ -n "$other_pkgs" ]; then
  go test -race -count=1 -timeout=20m ${skip:+-skip "$skip"} $other_pkgs || status=1
fi
if [ -n "$rapid_pkgs" ]; then
  go test -race -count=1 -timeout=20m ${skip:+-skip "$skip"} $rapid_pkgs -rapid.seed="$rapid_seed" -rapid.nofailfile || status=1
fi
if [ -n "$skip" ]; then
  echo "known red (not deciding):"
  cat KNOWN-RED.txt
  go test -race -count=1 -run "$skip" ./... || true
fi
exit $status
