#!/usr/bin/env bash
# Builds the stand-ins of the cases. The programs under test come from the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOWORK=off go build -o ../bin/standins .
