#!/usr/bin/env bash
# Exit code 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -d ../target-2/classes ] && [ -f ../../target/kelphollow.jar ] || { echo "build first, see ../build-2.sh"; exit 2; }
exec java -Xmx512m -Dreview.root="$(cd ../.. && pwd)" -cp ../target-2/classes review2.Case8 record.txt
