#!/usr/bin/env bash
# Builds the drivers of the cases, with the stand-ins that they start, into review/.bin. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p .bin
for main in */main.go; do
  dir=$(dirname "$main")
  GOWORK=$PWD/go.work GOFLAGS=-buildvcs=false go build -o ".bin/case-$dir" "./$dir"
done
