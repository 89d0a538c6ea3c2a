#!/bin/sh
# Builds the stand-ins that the cases 11 to 15 start, into target/. The daemon is built by the
# build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/rig3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/rig3 .
