#!/usr/bin/env bash
# Runs a whole deployment as separate processes, breaks parts of it under load, and says whether everything held.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/cluster.sh

say() { printf '\n== %s\n' "$*"; }

say "starting $DEPLOYMENT: table stand-in, 3 entries, $AGENTS agents, $AGENTS backend servers"
start_cluster
admin 0 apply --why "first configuration" "deploy/$DEPLOYMENT.json"
sleep 1
await_settled 0

say "a single job"
case $DEPLOYMENT in
  bygdens) KIND=line_check TENANT=shops BLOCK=restocking_order BLOCK_TENANT=shops ;;
  hanbit) KIND=seat_hold_check TENANT=kiosks BLOCK=lesson_block BLOCK_TENANT=schools ;;
esac
echo '{"job_id":"first","tenant":"'$TENANT'","labels":{"kind":"'$KIND'"},"deadline_ms":3000,"tasks":[{"payload":{"ms":50}}]}' |
  "$BIN/corianderspur" submit --entry "$(caller_addr 0)"

say "the same job of many tasks, submitted again through another entry: the answer is the same, nothing runs twice"
JOB='{"job_id":"many","tenant":"'$BLOCK_TENANT'","labels":{"kind":"'$BLOCK'"},"deadline_ms":20000,"tasks":['
for i in $(seq 40); do JOB="$JOB{\"payload\":{\"ms\":$((i * 10))}},"; done
JOB="${JOB%,}]}"
for i in 0 1; do echo "$JOB" | "$BIN/corianderspur" submit --entry "$(caller_addr $i)" | grep -E '"(status|run|starts)"'; done

say "load for 20 s, with one job in ten submitted twice"
# shellcheck disable=SC2046
load 20 0.6 --resubmit 0.1 $(entry_flags 0 1 2) --seed 7 --quiet >"$RUN/report.txt" 2>&1 &
LOAD=$!
sleep 4
say "killing entry-2 in mid-job: its callers submit again elsewhere"
signal entry-2 KILL
end_wait entry-2 || true
sleep 4
say "changing the configuration under work"
admin 0 label worker-0 drained=yes --why "show a change under work"
sleep 3
for i in 0 1; do admin $i status | sed -n 2p; done
say "a new entry-2 joins"
start_entry 2
await_ready 2
say "stopping entry-1 as planned"
signal entry-1 TERM
end_wait entry-1
sleep 1
admin 0 status
wait $LOAD && HELD=0 || HELD=$?

say "summary"
cat "$RUN/report.txt"
if [ "$HELD" -ne 0 ]; then
  echo "NOT HELD"
  exit 1
fi
echo "everything held"
