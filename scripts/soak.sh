#!/usr/bin/env bash
# Plays faults against real processes on the operators' platform's protocol: soak.sh SECONDS [SEED]
# The stand-in breaks links, runners and the store, and writes odd entries beside them; this script kills, freezes, stops and restarts entries and agents, and
# once all of them at the same time. Exit status 0 only if every promise was kept. BASE sets the first port.
set -euo pipefail
cd "$(dirname "$0")/.."
LENGTH=${1:-30}
SEED=${2:-1}
RANDOM=$SEED
BASE=${BASE:-18000}
RUN=${RUN:-run/soak-$SEED}
BIN=${BIN:-bin}
ENTRIES=${ENTRIES:-3}
AGENTS=${AGENTS:-6}
# Settings of agents besides, to take a guard away: EXTRA_AGENT='"silence_ms": 10000, "reattach_ms": 10000,'
EXTRA_AGENT=${EXTRA_AGENT:-}
# The last seconds, in which nothing is broken.
CALM=8
declare -A PIDS
mkdir -p "$RUN"
rm -f "$RUN"/*

addr() { echo "127.0.0.1:$((BASE + 100 * $1 + $2))"; }
note() { "$BIN/standin" ask "http://$(addr 0 1)/note" --post "$1" >/dev/null 2>&1 || true; }
# start NAME COMMAND...: runs a process in the background; its log is continued over its lives
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}
start_entry() {
  cat >"$RUN/entry-$1.json" <<JSON
{"name": "entry-$1", "availability_zone": "z", "caller_addr": "$(addr 1 "$1")", "ready_addr": "$(addr 2 "$1")",
 "metrics_addr": "$(addr 3 "$1")", "table_addr": "$(addr 0 0)"}
JSON
  start "entry-$1" "$BIN/corianderspur" platform entry --settings "$RUN/entry-$1.json"
}
start_agent() {
  cat >"$RUN/agent-$1.json" <<JSON
{"name": "agent-$1", $EXTRA_AGENT "availability_zone": "z", "service": "soak", "session_addr": "$(addr 4 "$1")",
 "announce_addr": "$(addr 6 "$1")", "backend_addr": "$(addr 7 "$1")", "metrics_addr": "$(addr 8 "$1")",
 "table_addr": "$(addr 0 0)"}
JSON
  start "agent-$1" "$BIN/corianderspur" platform agent --settings "$RUN/agent-$1.json"
}
restart() {
  case $1 in
    entry-*) start_entry "${1#entry-}" ;;
    agent-*) start_agent "${1#agent-}" ;;
  esac
}
signal() { kill "-$2" "${PIDS[$1]}" 2>/dev/null || true; }
end_all() {
  for name in "${!PIDS[@]}"; do kill -CONT "${PIDS[$name]}" 2>/dev/null && kill -KILL "${PIDS[$name]}" 2>/dev/null; done || true
  # Ports stay taken until the processes are gone.
  wait 2>/dev/null || true
}
trap end_all EXIT
some_process() {
  if [ $((RANDOM % 2)) = 0 ]; then echo "entry-$((RANDOM % ENTRIES))"; else echo "agent-$((RANDOM % AGENTS))"; fi
}
kill_all() {
  note "kill all"
  local name
  for name in "${!PIDS[@]}"; do
    [ "$name" = soak ] && continue
    note "kill $name"
    signal "$name" KILL
  done
  for name in "${!PIDS[@]}"; do
    [ "$name" = soak ] && continue
    { wait "${PIDS[$name]}"; } 2>/dev/null || true
    restart "$name"
  done
}
break_something() {
  local name
  name=$(some_process)
  case $((RANDOM % 3)) in
    0)
      note "kill $name"
      signal "$name" KILL
      { wait "${PIDS[$name]}"; } 2>/dev/null || true
      sleep "0.$((RANDOM % 9))"
      restart "$name"
      ;;
    1)
      local pause=$((1 + RANDOM % 2)).$((RANDOM % 9))
      note "freeze $name for $pause s"
      signal "$name" STOP
      sleep "$pause"
      signal "$name" CONT
      note "freeze $name ends"
      ;;
    2)
      note "stop $name"
      signal "$name" TERM
      { wait "${PIDS[$name]}"; } 2>/dev/null || true
      note "stop $name ended"
      restart "$name"
      ;;
  esac
}

# check_alive fails the run if a process has ended by itself
LIVE=0
check_alive() {
  local name
  for name in "${!PIDS[@]}"; do
    [ "$name" = soak ] && continue
    if ! kill -0 "${PIDS[$name]}" 2>/dev/null; then
      echo "BROKEN $name has ended by itself"
      LIVE=1
    fi
  done
}

start soak "$BIN/standin" soak --base "$BASE" --entries "$ENTRIES" --agents "$AGENTS" --length "${LENGTH}s" --calm "${CALM}s" --seed "$SEED"
for i in $(seq 0 $((AGENTS - 2))); do start_agent "$i"; done
for i in $(seq 0 $((ENTRIES - 1))); do start_entry "$i"; done
END=$((SECONDS + LENGTH - CALM - 4))
ALL=$((SECONDS + LENGTH / 2))
sleep 3
# The last agent announces itself after the first odd entries.
start_agent $((AGENTS - 1))
while [ $SECONDS -lt $END ]; do
  check_alive
  if [ $SECONDS -ge $ALL ]; then
    ALL=$((END + 1))
    kill_all
  else
    break_something
  fi
  sleep "0.$((RANDOM % 9))"
done
HELD=0
wait "${PIDS[soak]}" || HELD=$?
check_alive
cat "$RUN/soak.log"
exit $((HELD | LIVE))
