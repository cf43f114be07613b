#!/usr/bin/env bash
# Exits with 1 if routes that were added later are served less than a quarter as often as the first route in steady state, 0 if not,
# 2 if the case could not run.
# TROUBLE=0 plays the same without the freezes.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gypsumcart.jar ] && [ -d target/review ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review Freeze . review/3/record.txt
