#!/usr/bin/env bash
# Clients that leave while their uploads wait; see claim.txt. TROUBLE=0 runs it with clients that stay.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -d "$root/review/target/classes" ] || [ ! -f "$root/target/kelphollow.jar" ]; then
  echo "not built: run the build of the deploy file and review/build.sh"
  exit 2
fi
exec java -Xmx512m -XX:+UseSerialGC -cp "$root/review/target/classes" review.GoneClients "$root" "$here" "${TROUBLE:-1}"
