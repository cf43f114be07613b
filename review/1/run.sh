#!/usr/bin/env bash
# Exits with 1 if a request that isn't idempotent ran more than once, 0 if none did, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the extra answers.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gypsumcart.jar ] && [ -d target/review ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review ExtraRefusal . review/1/record.txt
