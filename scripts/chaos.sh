#!/usr/bin/env bash
# Breaks the processes of a deployment under load, at random but by a seed: chaos.sh SECONDS [SEED]
# Kills (SIGKILL) and replaces entries and agents, freezes them (SIGSTOP, SIGCONT), stops them as planned (SIGTERM), takes
# the table away and loses its replies. Starts are counted by the backend servers. Exit status 0 only if all held.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_OF_LOAD=${1:-60}
RANDOM=${2:-1}
RUN=${RUN:-run/chaos}
. scripts/cluster.sh
start_cluster
admin 0 apply --why "chaos" "deploy/$DEPLOYMENT.json" >/dev/null
sleep 1
await_settled 0
# shellcheck disable=SC2046
load "$SECONDS_OF_LOAD" 0.5 $(entry_flags 0 1 2) --resubmit 0.2 --seed "${2:-1}" --quiet >"$RUN/report.txt" 2>&1 &
LOAD=$!
fault() { ask "http://$TABLE/fault" --post "$1"; }
thaw_later() { (sleep "$2" && kill -CONT "$1" 2>/dev/null) & }

break_something() {
  local e=$((RANDOM % 3)) a=$((RANDOM % AGENTS)) pause=$((1 + RANDOM % 5))
  case $((RANDOM % 8)) in
    0) echo "kill entry-$e"; signal entry-$e KILL; end_wait entry-$e 2>/dev/null || true; sleep 1; start_entry $e ;;
    1) echo "kill agent-$a"; signal agent-$a KILL; end_wait agent-$a 2>/dev/null || true; sleep 1; start_agent $a ;;
    2) echo "freeze entry-$e for ${pause}s"; signal entry-$e STOP; thaw_later "${PIDS[entry-$e]}" $pause ;;
    3) echo "freeze agent-$a for ${pause}s"; signal agent-$a STOP; thaw_later "${PIDS[agent-$a]}" $pause ;;
    4) echo "stop entry-$e as planned"; signal entry-$e TERM; end_wait entry-$e || echo "entry-$e ended with $?"; start_entry $e ;;
    5) echo "stop agent-$a as planned"; signal agent-$a TERM; end_wait agent-$a || echo "agent-$a ended with $?"; start_agent $a ;;
    6) echo "table down for ${pause}s"; fault '{"down":true}'; (sleep $pause && fault '{}') & ;;
    7) echo "table loses replies for ${pause}s"; fault '{"lose_replies":true}'; (sleep $pause && fault '{}') & ;;
  esac
}

END=$((SECONDS + SECONDS_OF_LOAD - 2))
while [ $SECONDS -lt $END ]; do
  break_something
  sleep $((1 + RANDOM % 4))
done
wait $LOAD && HELD=0 || HELD=$?
cat "$RUN/report.txt"
exit $HELD
