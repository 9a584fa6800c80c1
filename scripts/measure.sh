#!/usr/bin/env bash
# Measures one load on a fresh deployment: measure.sh LOAD SECONDS [policy|baseline] [flags of load...]
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
echo "-- $DEPLOYMENT $POLICY"
# shellcheck disable=SC2046
load "$SECONDS_OF_LOAD" "$SHARE" $(entry_flags 0 1 2) --quiet "$@"
