#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x review/bin/standins ] && [ -x target/figseamd ] || exit 2
timeout -k 3 115 review/bin/standins lost-core "$folder"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
