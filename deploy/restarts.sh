#!/bin/bash
# Measures start to ready at a share of a core: plays the run line COUNT times, BESIDE of them side by side, each on one
# core and held to SHARE thousandths of it by being stopped and continued ten times a second. Prints the seconds until
# each listens, sorted, and the processor time of all. Usage, after make build: deploy/restarts.sh [COUNT] [BESIDE] [SHARE]
set -u
count=${1:-36} beside=${2:-6} share=${3:-240}
folder=$(mktemp -d)
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
on=$(printf '0.%03d' $((share / 10))) off=$(printf '0.%03d' $((100 - share / 10)))
mkfifo "$folder/never"
exec 3<> "$folder/never" # waiting on it costs no process

one() {
    local log=$folder/$1 began=${EPOCHREALTIME/./} pid
    GW_CONFIG=deploy/rehearsal.json GW_LISTEN=127.0.0.1:$((47700 + $1)) \
        taskset -c $(($1 % $(nproc))) sh -c "$run" 2> "$log" &
    pid=$!
    until grep -q "name=n$1 from=starting to=awaiting-runtime" "$log" 2> /dev/null || ! kill -0 $pid 2> /dev/null; do
        kill -CONT $pid
        read -r -t "$on" -u 3
        kill -STOP $pid
        read -r -t "$off" -u 3
    done
    echo $(((${EPOCHREALTIME/./} - began) / 1000)) "$(awk '{ print $14 + $15 }' /proc/$pid/stat)" >> "$folder/times"
    kill -CONT $pid
    kill $pid
    wait $pid
}

for ((i = 0; i < count; i += beside)); do
    for ((j = i; j < i + beside && j < count; j++)); do
        GW_NAME=n$j one $j 2> /dev/null &
    done
    wait
done
sort -n "$folder/times" | awk '{ t[NR] = $1 / 1000; cpu += $2 / 100 } END {
    for (i = 1; i <= NR; i++) printf "%.1f ", t[i]
    printf "\n%d starts: %.1f s the ninth of ten, %.1f s the longest; %.2f s of a core each\n",
        NR, t[int(NR * 0.9 + 0.999)], t[NR], cpu / NR }'
rm -r "$folder"
