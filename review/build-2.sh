#!/bin/sh
# Builds every stand-in that a case of the second review starts, into review/standins-2/bin. It needs Go alone.
set -e
cd "$(dirname "$0")/standins-2"
mkdir -p bin
CGO_ENABLED=0 GOWORK=off GOFLAGS= GOTOOLCHAIN=local GOPROXY=off go build -buildvcs=false -o bin/standins-2 .
