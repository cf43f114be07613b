#!/usr/bin/env bash
# Compiles the case with the stand-ins of review/, whose store it replaces; needs the JDK that the project's build needs.
set -eu
cd "$(dirname "$0")/../.."
mkdir -p target/cases/config-restore
mapfile -t shared < <(find review/src -name '*.java' ! -name Store.java)
javac -nowarn -d target/cases/config-restore "${shared[@]}" cases/config-restore/src/*.java
