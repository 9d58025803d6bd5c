#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -d target/classes src/review/*.java
echo "review: built"
