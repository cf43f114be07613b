#!/usr/bin/env bash
# Exits with 1 if requests stay unanswered half a second after the timeoutMs of their route, 0 if not, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the endless answer.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/gypsumcart.jar ] && [ -d target/review ] || { echo "build the deploy file and run review/build.sh first"; exit 2; }
exec java -Xmx256m -cp target/review EndlessAnswer . review/4/record-lines.txt lines
