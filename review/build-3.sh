#!/bin/sh
# Builds the programs of the cases 11 to 15 into review/third/.bin, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/third"
GOWORK=$PWD/go.work GOFLAGS=-buildvcs=false go build -o .bin/ ./...
