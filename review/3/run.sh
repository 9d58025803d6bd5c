#!/usr/bin/env bash
# A planned restart after new settings; see claim.txt. TROUBLE=0 runs it without the new settings.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -d "$root/review/target/classes" ] || [ ! -f "$root/target/kelphollow.jar" ]; then
  echo "not built: run the build of the deploy file and review/build.sh"
  exit 2
fi
exec java -Xmx512m -XX:+UseSerialGC -cp "$root/review/target/classes" review.EndAfterReload "$root" "$here" "${TROUBLE:-1}"
