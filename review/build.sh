#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs Go alone: they use the standard library and nothing else.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../bin
CGO_ENABLED=0 GOWORK=off GOFLAGS= GOTOOLCHAIN=local GOPROXY=off go build -o ../bin/standins .
