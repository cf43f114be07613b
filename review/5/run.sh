#!/usr/bin/env bash
# Exits with 1 if requests reached a replica later than drainMs after it had left, by a machine in touch, 0 if none did,
# 2 if the case could not run.
# TROUBLE=0 plays the same without the cuts.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gypsumcart.jar ] && [ -d target/review ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review StaleGrace . review/5/record.txt
