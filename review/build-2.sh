#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../../target/reviewstandins .
