#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into review/second/.bin. The deployed program is built by the build line of the deploy file before.
set -euo pipefail
cd "$(dirname "$0")/second"
GOWORK="$PWD/go.work" GOFLAGS=-buildvcs=false go build -o .bin/ ./...
