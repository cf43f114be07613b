#!/usr/bin/env bash
# Exits with 1 if requests reached a draining replica later than drainMs after the store's ack, 0 if none did, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the unreadable entry.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gypsumcart.jar ] && [ -d target/review ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review BadEntry . review/2/record.txt
