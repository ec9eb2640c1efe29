#!/usr/bin/env bash
# The test command of the README: runs all tests with the race detector. Tests listed in KNOWN-RED.txt run
# separately, and their result is printed but doesn't affect the exit status. Crowds of clients (TestCrowd...) run apart
# from all other tests, one at a time. The seeds are fixed and printed, so that repeated runs give the same result.
set -euo pipefail
cd "$(dirname "$0")"
export CITRONHITCH_SEED="${CITRONHITCH_SEED:-20261203}"
rapid_seed="${RAPID_SEED:-20261203}"
echo "seeds: CITRONHITCH_SEED=$CITRONHITCH_SEED rapid=$rapid_seed"

# Each entry of KNOWN-RED.txt starts with a line "test: Package TestName".
skip=""
if [ -f KNOWN-RED.txt ]; then
  skip=$(sed -n 's/^test: *[^ ]* *\(Test[A-Za-z0-9_]*\).*/^\1$/p' KNOWN-RED.txt | paste -sd'|' -)
fi

crowds='^TestCrowd'
skip_apart="${skip:+$skip|}$crowds"

# Only the test binaries of packages that import rapid accept its flags.
rapid_pkgs=$(go list -f '{{if or (len .TestGoFiles) (len .XTestGoFiles)}}{{.ImportPath}} {{join .TestImports ","}},{{join .XTestImports ","}}{{end}}' ./... | awk '/pgregory.net\/rapid/{print $1}')
other_pkgs=$(go list ./... | grep -vxF "${rapid_pkgs:-none}" || true)

status=0
if [ -n "$other_pkgs" ]; then
  go test -race -count=1 -timeout=20m -skip "$skip_apart" $other_pkgs || status=1
fi
if [ -n "$rapid_pkgs" ]; then
  go test -race -count=1 -timeout=20m -skip "$skip_apart" $rapid_pkgs -rapid.seed="$rapid_seed" -rapid.nofailfile || status=1
fi
go test -count=1 -timeout=20m -p 1 -run "$crowds" ${skip:+-skip "$skip"} ./hitchsoak ./cmd/citronhitch || status=1
if [ -f KNOWN-RED.txt ]; then
  echo "known failures (they don't affect the exit status):"
  cat KNOWN-RED.txt
fi
if [ -n "$skip" ]; then
  go test -race -count=1 -run "$skip" ./... || true
fi
exit $status
