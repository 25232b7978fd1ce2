#!/bin/sh
# Runs the case in review/$1 under the name $2: `review/N/run.sh` calls it. $3 is its TROUBLE: without
# the disruption if that is 0. Ends all processes that the case started.
cd "$(dirname "$0")/.."
case_dir="review/$1"
program=target/review/standin
[ -x "$program" ] && [ -x target/release/filberttiller-platform ] || {
    echo "run review/build.sh and the build of deploy/system.toml first" >&2
    exit 2
}
work=$(mktemp -d) || exit 2
child=
# The stand-in ends its routers itself, unless it is killed.
clean() {
    if [ -n "$child" ]; then
        kill -TERM "$child" 2>/dev/null
        for pid in $(cat "$work/pids" 2>/dev/null); do
            grep -q filberttiller-platform "/proc/$pid/cmdline" 2>/dev/null && kill -KILL "$pid"
        done
    fi
    rm -rf "$work"
}
trap clean EXIT
trap 'exit 2' INT TERM HUP
timeout -k 1 110 "$program" "$2" "$work" "$case_dir/record.txt" "$3" &
child=$!
wait "$child"
code=$?
case $code in
    0 | 1 | 2) child= ;;
    *) code=2 ;;
esac
exit "$code"
