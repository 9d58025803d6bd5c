#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. Needs the JDK only; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target-2
mkdir -p target-2/classes
echo "*" > target-2/.gitignore
javac --release 17 -d target-2/classes src-2/review2/*.java
echo "review: built target-2"
