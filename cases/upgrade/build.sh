#!/usr/bin/env bash
# Compiles the case with the stand-ins of review/, once with their store, which names no era, and once with that of
# cases/config-restore, which does; needs the JDK that the project's build needs.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/cases/upgrade/no-eras target/cases/upgrade/eras
mapfile -t shared < <(find review/src -name '*.java' ! -name Store.java)
javac -nowarn -d target/cases/upgrade/no-eras "${shared[@]}" review/src/Store.java cases/upgrade/src/*.java
javac -nowarn -d target/cases/upgrade/eras "${shared[@]}" cases/config-restore/src/Store.java cases/upgrade/src/*.java
