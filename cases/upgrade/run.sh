#!/usr/bin/env bash
# Exits with 1 if a window of usage came late or not at all, a fencing token went back, or calls of clients broke a rule while four
# nodes were upgraded; 0 if all held, 2 if the case couldn't run. OLD names the checkout whose built jar serves first,
# NEW one whose jar replaces it (this one without it). STORE_ERAS=1 plays a store that names its era. NEW_NODES is the number of
# nodes of the new build when the holder of the lease is killed, 2 without it. TROUBLE=0 plays the upgrade without kills.
# POLICIES lists the policies in the settings of the nodes.
cd "$(dirname "$0")/../.." || exit 2
new="${NEW:-.}"
classes=target/cases/upgrade/no-eras
[ "${STORE_ERAS:-0}" = 1 ] && classes=target/cases/upgrade/eras
if [ ! -f "${OLD:-}/target/gypsumcart.jar" ] || [ ! -f "$new/target/gypsumcart.jar" ] || [ ! -d "$classes" ]; then
  echo "build the deploy files of both checkouts and run cases/upgrade/build.sh first"
  exit 2
fi
exec java -Xmx256m -cp "$classes" Upgrade "$OLD" "$new" "${RECORD:-cases/upgrade/record.txt}"
