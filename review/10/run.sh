#!/usr/bin/env bash
# Runs the case: exit code 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves out the disruption. record.txt holds what was sent, answered and run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/figseamd ] && [ -x target/reviewrig ] || { echo "run the build of deploy/system.toml and review/build-2.sh first"; exit 2; }
exec target/reviewrig hosts target/figseamd review/10/record.txt
