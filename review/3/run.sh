#!/usr/bin/env bash
# see claim.txt. TROUBLE=0 runs it without the disruption.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -d "$root/review/target/classes" ] || [ ! -f "$root/target/kelphollow.jar" ]; then
  echo "not built: run the build of the deploy file and review/build.sh"
  exit 2
fi
# The platform holds the clients' listening socket; every process inherits it as descriptor 0.
exec perl -e '
  use Socket;
  my $s;
  socket($s, PF_INET, SOCK_STREAM, 0) and setsockopt($s, SOL_SOCKET, SO_REUSEADDR, 1)
    and bind($s, sockaddr_in(0, inet_aton("127.0.0.1"))) and listen($s, 512) or exit 2;
  ($ENV{REVIEW_PORT}) = sockaddr_in(getsockname($s));
  use POSIX ();
  defined POSIX::dup2(fileno($s), 0) or exit 2;
  exec @ARGV or exit 2;
' java -Xmx512m -XX:+UseSerialGC -cp "$root/review/target/classes" "${CASE:-review.HandoverLimit}" "$root" "$here" "${TROUBLE:-1}"
