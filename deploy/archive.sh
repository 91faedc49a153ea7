#!/bin/sh
# Starts the service instance once, which plays its rehearsal, and keeps the classes that this loaded in an archive
# which later starts map instead of reading them anew. Without the archive the instance serves all the same, so that
# no failure here fails the build.
cd "$(dirname "$0")/.." || exit 0
rm -f target/topazladder.jsa
GW_CONFIG=deploy/rehearsal.json java -XX:+UseSerialGC -Xshare:auto -XX:ArchiveClassesAtExit=target/topazladder.jsa \
    -Dvertx.disableDnsResolver=true -jar target/topazladder.jar serve >/dev/null 2>target/archive.log &
instance=$!
for _ in 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 20; do
    sleep 0.5
    grep -q 'from=starting to=awaiting-runtime' target/archive.log && grep -q 'to=stopped' target/archive.log && break
done
sleep 0.5
kill "$instance" 2>/dev/null
wait "$instance"
[ -f target/topazladder.jsa ] || echo "no class archive was made; starts take a little longer" >&2
exit 0
