#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. They use the standard library only and
# are a module of their own. The build of deploy/system.toml must have run before.
set -euo pipefail
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/reviewrig .
