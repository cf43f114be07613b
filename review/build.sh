#!/usr/bin/env bash
# Compiles the stand-ins of the cases; needs the JDK that the project's build needs, and nothing else.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
javac -nowarn -d target/review review/src/*.java
