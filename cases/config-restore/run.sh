#!/usr/bin/env bash
# Exits with 1 if a node answered 404 for a route later than configApplyMs after its configuration was acknowledged, 0 if none did,
# 2 if the case couldn't run. TROUBLE=0 plays the same with a store that comes back with all that it had acknowledged.
# ROOT may name another checkout, whose built jar is played.
cd "$(dirname "$0")/../.." || exit 2
root="${ROOT:-.}"
[ -f "$root/target/gypsumcart.jar" ] && [ -d target/cases/config-restore ] || {
  echo "build the deploy file and run cases/config-restore/build.sh first"
  exit 2
}
exec java -Xmx256m -cp target/cases/config-restore ConfigRestore "$root" cases/config-restore/record.txt
