#!/bin/sh
# Starts the service instance once, with stand-ins round it that pass a few tickets through, and keeps the classes
# that this loaded in an archive which later starts map instead of reading them anew. Without the archive the
# instance serves all the same, so that no failure here fails the build.
cd "$(dirname "$0")/.." || exit 0
rm -f target/topazladder.jsa
GW_CONFIG=deploy/rehearsal.json java -XX:+UseSerialGC -Xshare:auto -XX:ArchiveClassesAtExit=target/topazladder.jsa \
    -Xlog:disable -Dvertx.disableDnsResolver=true -jar target/topazladder.jar serve >/dev/null 2>&1 &
instance=$!
timeout 20 java -cp target/test-classes:target/classes topazladder.Rehearsal >/dev/null 2>&1 || sleep 2
kill "$instance" 2>/dev/null
wait "$instance"
[ -f target/topazladder.jsa ] || echo "no class archive was made; starts take a little longer" >&2
exit 0
