#!/usr/bin/env bash
# Measures what control costs idle processes, for several numbers of entries and of agents:
# capacity.sh [SECONDS ["ENTRIES AGENTS"]...]
set -euo pipefail
cd "$(dirname "$0")/.."
PERIOD=${1:-15}
shift $(($# > 0 ? 1 : 0))
[ $# -gt 0 ] || set -- "3 2" "10 2" "40 2" "3 11" "3 40" "3 120" "10 60"
TICKS=$(getconf CLK_TCK)

# cost NAME ADMIN_ADDR: processor time used so far (ticks), resident memory (KiB) and bytes sent and received so far
cost() {
  local pid=${PIDS[$1]}
  awk '{print $14 + $15}' "/proc/$pid/stat"
  awk '/VmRSS/ {print $2}' "/proc/$pid/status"
  ask "http://$2/metrics" | awk '/^corianderspur_frame_bytes/ {n += $NF} END {printf "%.0f\n", n}'
}

# report LABEL NAME ADMIN_ADDR: what one process costs over the period
report() {
  local before after
  mapfile -t before < <(cost "$2" "$3")
  sleep "$PERIOD"
  mapfile -t after < <(cost "$2" "$3")
  awk -v label="$1" -v period="$PERIOD" -v hz="$TICKS" -v cpu=$((after[0] - before[0])) -v rss="${after[1]}" \
    -v bytes=$((after[2] - before[2])) 'BEGIN {
      printf "%-34s %5.2f%% of a core  %5.1f MiB  %5.2f KB/s\n", label, cpu / hz / period * 100, rss / 1024, bytes / period / 1000 }'
}

# shellcheck disable=SC2030,SC2031
for size in "$@"; do
  (
    read -r ENTRIES AGENTS <<<"$size"
    RUN=run/capacity
    . scripts/cluster.sh
    start_cluster
    admin 0 apply --why "capacity" "deploy/$DEPLOYMENT.json" >/dev/null
    sleep 5
    report "entries=$ENTRIES agents=$AGENTS: agent-0" agent-0 "$(agent_admin_addr 0)"
    report "entries=$ENTRIES agents=$AGENTS: entry-0" entry-0 "$(admin_addr 0)"
  ) 2>/dev/null
done
