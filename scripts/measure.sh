#!/usr/bin/env bash
# Measures one load on a fresh deployment: measure.sh LOAD SECONDS [policy|baseline] [flags of load...]
# EVENT=fail|slow|freeze|leave|outage|kill does something to one backend server, the table or an entry after 4 s.
set -euo pipefail
cd "$(dirname "$0")/.."
SHARE=${1:-0.8} SECONDS_OF_LOAD=${2:-20} POLICY=${3:-policy}
shift $(($# < 3 ? $# : 3))
RUN=${RUN:-run/measure}
if [ "$POLICY" = baseline ]; then
  EXTRA_ENTRY='"baseline": true,'
  EXTRA_AGENT='"queue_limit": 100000,'
fi
. scripts/cluster.sh
start_cluster
admin 0 apply --why "measurement" "deploy/$DEPLOYMENT.json" >/dev/null
sleep 1
await_settled 0
echo "-- $DEPLOYMENT $POLICY ${EVENT:-}"
control() { ask "http://$(backend_addr "$1")/control" --post "$2"; }
event() {
  sleep 4
  case $1 in
    fail) control 0 '{"fail_all":true}' ;;
    slow) control 0 '{"slow":5}' ;;
    freeze) control 0 '{"freeze":true}' ;;
    leave) control 0 '{"leave":true}'; date +%s%3N >"$RUN/left" ;;
    outage) ask "http://$TABLE/fault" --post '{"down":true}'  ;;
    kill) signal entry-2 KILL ;;
  esac
}
[ -z "${EVENT:-}" ] || event "$EVENT" &
spent() { for name in "$@"; do awk '{print $14 + $15}' "/proc/${PIDS[$name]}/stat" 2>/dev/null; done | awk '{n += $1} END {print n}'; }
AGENT_NAMES=$(for i in $(seq 0 $((AGENTS - 1))); do echo "agent-$i"; done)
# shellcheck disable=SC2086
BEFORE_ENTRIES=$(spent entry-0 entry-1 entry-2) BEFORE_AGENTS=$(spent $AGENT_NAMES)
# shellcheck disable=SC2046
load "$SECONDS_OF_LOAD" "$SHARE" $(entry_flags 0 1 2) --quiet "$@"
# shellcheck disable=SC2086
echo "processor time: $(($(spent entry-0 entry-1 entry-2) - BEFORE_ENTRIES)) ticks of entries, $(($(spent $AGENT_NAMES) - BEFORE_AGENTS)) of agents, $(getconf CLK_TCK) ticks a second"
if [ "${EVENT:-}" = leave ]; then
  last=$(ask "http://$(backend_addr 0)/starts" | grep -o '"last_start_unix_ms":[0-9]*' | cut -d: -f2)
  echo "last start $((last - $(cat "$RUN/left"))) ms after the backend server said that it leaves"
fi
