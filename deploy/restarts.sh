#!/bin/bash
# Measures start to ready at a share of a core: plays the run line COUNT times, BESIDE of them side by side, each held to
# SHARE thousandths of a core by being stopped and continued ten times a second, and prints the seconds until each
# listens, sorted, with the ninth of ten. Usage, after the build: sh deploy/restarts.sh [COUNT] [BESIDE] [SHARE]
set -u
count=${1:-36} beside=${2:-6} share=${3:-240}
folder=$(mktemp -d)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
on=$(printf '0.%03d' $((share / 10))) off=$(printf '0.%03d' $((100 - share / 10)))

# One instance, ended as soon as it listens; the share is taken whole at each start of a tenth of a second.
one() {
    local log=$folder/$1 began=${EPOCHREALTIME/./} pid
    GW_CONFIG=deploy/rehearsal.json GW_LISTEN=127.0.0.1:$((47700 + $1)) sh -c "$run" 2> "$log" &
    pid=$!
    while ! grep -q "n$1 is awaiting runtime" "$log" 2> /dev/null && kill -0 $pid 2> /dev/null; do
        sleep "$on"
        kill -STOP $pid
        sleep "$off"
        kill -CONT $pid
    done
    echo $(((${EPOCHREALTIME/./} - began) / 1000)) >> "$folder/times"
    kill $pid
    wait $pid
}

for ((i = 0; i < count; i += beside)); do
    for ((j = i; j < i + beside && j < count; j++)); do
        GW_NAME=n$j one $j &
    done
    wait
done
sort -n "$folder/times" | awk '{ t[NR] = $1 / 1000 } END {
    for (i = 1; i <= NR; i++) printf "%.1f ", t[i]
    printf "\n%d starts, %.1f s the ninth of ten, %.1f s the longest\n", NR, t[int(NR * 0.9 + 0.999)], t[NR] }'
rm -r "$folder"
