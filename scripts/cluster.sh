# Functions that start a whole deployment as separate processes on loopback; sourced by the scripts beside this file.
# Each process started is noted by its id, and only those are ever ended.

DEPLOYMENT=${DEPLOYMENT:-bygdens}
BASE=${BASE:-17000}
RUN=${RUN:-run}
BIN=${BIN:-bin}
TOKEN=demo-operator-token-0001
AGENTS=${AGENTS:-11}
ENTRIES=${ENTRIES:-3}
SLOTS=${SLOTS:-8}
RETENTION=${RETENTION:-600000}
EXTRA_ENTRY=${EXTRA_ENTRY:-}
EXTRA_AGENT=${EXTRA_AGENT:-}

case $DEPLOYMENT in
  bygdens) ZONES=(umea skelleftea lycksele ornskoldsvik); SHARING='"hold_results_ms": 1000,'; ENTRY_SHARING='"pack_jobs": true, "send_ahead": 2,' ;;
  hanbit) ZONES=(mapo jongno gangnam); SHARING=''; ENTRY_SHARING='' ;;
  *) echo "DEPLOYMENT: want bygdens or hanbit" >&2; exit 2 ;;
esac

declare -A PIDS
TABLE=127.0.0.1:$BASE
session_addr() { echo "127.0.0.1:$((BASE + 200 + $1))"; }
caller_addr() { echo "127.0.0.1:$((BASE + 400 + $1))"; }
admin_addr() { echo "127.0.0.1:$((BASE + 600 + $1))"; }
announce_addr() { echo "127.0.0.1:$((BASE + 800 + $1))"; }
agent_admin_addr() { echo "127.0.0.1:$((BASE + 1000 + $1))"; }
backend_addr() { echo "127.0.0.1:$((BASE + 1200 + $1))"; }
zone() { echo "${ZONES[$(($1 % ${#ZONES[@]}))]}"; }

# ask URL [--post BODY]: sends a request and prints the response
ask() { "$BIN/standin" ask "$@"; }

# start NAME COMMAND...: runs a process in the background with its log in $RUN/NAME.log
start() {
  local name=$1
  shift
  "$@" >>"$RUN/$name.log" 2>&1 &
  PIDS[$name]=$!
}

start_table() { start table "$BIN/standin" table --addr "$TABLE"; }

start_entry() {
  cat >"$RUN/entry-$1.json" <<JSON
{"name": "entry-$1", "availability_zone": "$(zone "$1")", $ENTRY_SHARING $EXTRA_ENTRY
 "session_addr": "$(session_addr "$1")", "caller_addr": "$(caller_addr "$1")", "admin_addr": "$(admin_addr "$1")",
 "table_addr": "$TABLE", "retention_ms": $RETENTION, "tokens": [{"token": "$TOKEN", "who": "demo"}]}
JSON
  start "entry-$1" "$BIN/corianderspur" entry --settings "$RUN/entry-$1.json"
}

start_agent() {
  cat >"$RUN/agent-$1.json" <<JSON
{"name": "agent-$1", "worker": "worker-$1", "availability_zone": "$(zone "$1")", $SHARING $EXTRA_AGENT
 "labels": {"rack": "rack-$(($1 / 3))"},
 "backend_addr": "$(announce_addr "$1")", "admin_addr": "$(agent_admin_addr "$1")", "table_addr": "$TABLE"}
JSON
  start "agent-$1" "$BIN/corianderspur" agent --settings "$RUN/agent-$1.json"
}

start_backend() {
  start "backend-$1" "$BIN/standin" backend --addr "$(backend_addr "$1")" --agent "$(announce_addr "$1")" --slots "$SLOTS"
}

start_cluster() {
  mkdir -p "$RUN"
  rm -f "$RUN"/*.log "$RUN"/*.json
  trap end_all EXIT
  start_table
  for i in $(seq 0 $((ENTRIES - 1))); do start_entry "$i"; done
  for i in $(seq 0 $((AGENTS - 1))); do
    start_agent "$i"
    start_backend "$i"
  done
  for i in $(seq 0 $((ENTRIES - 1))); do await_ready "$i"; done
}

# await_ready N: waits until entry N would serve a request, for half a minute at most
await_ready() {
  for _ in $(seq 300); do
    ask "http://$(admin_addr "$1")/readyz" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "entry-$1 did not become ready" >&2
  return 1
}

await_settled() {
  for _ in $(seq 300); do
    local free
    free=$(admin "$1" status -o json | grep -c '"slots": '"$SLOTS" || true)
    [ "$free" -ge "$AGENTS" ] && return 0
    sleep 0.1
  done
  echo "not all agents are ready at entry-$1" >&2
  return 1
}

# admin N COMMAND...: runs an operator's command against entry N
admin() {
  local entry=$1 command=$2
  shift 2
  "$BIN/corianderspur" "$command" --admin "$(admin_addr "$entry")" --token "$TOKEN" "$@"
}

# signal NAME SIGNAL: sends a signal to a process that was started here
signal() { kill "-$2" "${PIDS[$1]}"; }

# end_wait NAME: waits for a process to end and returns its exit code
end_wait() {
  local pid=${PIDS[$1]} code=0
  wait "$pid" || code=$?
  unset "PIDS[$1]"
  return $code
}

end_all() {
  local name
  for name in "${!PIDS[@]}"; do kill -KILL "${PIDS[$name]}" 2>/dev/null || true; done
  wait 2>/dev/null || true
}

entry_flags() { for i in "$@"; do echo "--entry $(caller_addr "$i")"; done; }
figure_flags() {
  for i in $(seq 0 $((ENTRIES - 1))); do echo "--figures $(admin_addr "$i")"; done
  for i in $(seq 0 $((AGENTS - 1))); do echo "--figures $(agent_admin_addr "$i")"; done
}
backend_flags() { for i in $(seq 0 $((AGENTS - 1))); do echo "--backend $(backend_addr "$i")"; done; }

# load SECONDS LOAD FLAGS...: offers the deployment's mix through all entries
load() {
  local seconds=$1 share=$2
  shift 2
  # shellcheck disable=SC2046
  "$BIN/corianderspur" load --deployment "$DEPLOYMENT" --seconds "$seconds" --load "$share" \
    --slots $((AGENTS * SLOTS)) $(figure_flags) $(backend_flags) "$@"
}
