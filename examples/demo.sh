#!/usr/bin/env bash
# Runs both deployments as separate processes on loopback, submits their
# example jobs, prints the answers and a trace and stops all processes
# gracefully. Exits with 0 only if all answers are correct.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d)
pids=()

# Terminates the processes started by this script that still run.
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

# Waits until a file has a line that matches a pattern, and prints it.
wait_line() {
  for _ in $(seq 200); do
    if grep -m1 -E "$2" "$1" 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "demo: no line matches '$2' in $1" >&2
  cat "$1" >&2 || true
  return 1
}

field() { python -c 'import json,sys; print(json.loads(sys.stdin.readline())[sys.argv[1]])' "$1"; }

start_entry() { # name zone store
  cat > "$dir/$1.toml" <<SETTINGS
entry = "$1"
zone = "$2"
http_address = "127.0.0.1:0"
link_address = "127.0.0.1:0"
store_url = "http://$3"
balancer_delay_s = 1
log_file = "$dir/$1.log"
trace_file = "$dir/$1.spans"
trace_ratio = 1.0
SETTINGS
  savoryrudderd entry "$dir/$1.toml" & pids+=($!); entry_pids+=($!)
}

start_agent() { # name service zone upstream operations links
  cat > "$dir/$1.toml" <<SETTINGS
agent = "$1"
service = "$2"
zone = "$3"
entries = [$6]
upstream_url = "http://$4"
http_address = "127.0.0.1:0"
slots = 10
memory_mb = 130000
operations = [$5]
log_file = "$dir/$1.log"
trace_file = "$dir/$1.spans"
trace_ratio = 1.0
SETTINGS
  savoryrudderd agent "$dir/$1.toml" & pids+=($!); agent_pids+=($!)
}

run_deployment() { # name service zone1 zone2 client operations operation client
  dir="$work/$1"; mkdir "$dir"
  entry_pids=(); agent_pids=(); stand_in_pids=()
  echo "== $1"
  python stand_ins/store.py --port 0 > "$dir/store.out" & pids+=($!); stand_in_pids+=($!)
  for number in 1 2 3; do
    python stand_ins/upstream.py --service "$2" --port 0 --seed "$number" \
      > "$dir/upstream$number.out" & pids+=($!); stand_in_pids+=($!)
  done
  local store links="" urls="" listening
  store=$(wait_line "$dir/store.out" '^127')
  start_entry entry-1 "$3" "$store"
  start_entry entry-2 "$4" "$store"
  for number in 1 2; do
    listening=$(wait_line "$dir/entry-$number.log" '"listening"')
    links+="\"$(field link <<< "$listening")\", "
    urls+="$(field http <<< "$listening"),"
  done
  for number in 1 2 3; do
    local zone=$3; [ "$number" = 2 ] && zone=$4
    start_agent "$2-$number" "$2" "$zone" \
      "$(wait_line "$dir/upstream$number.out" '^127')" "$6" "$links"
  done
  export SAVORYRUDDER_ENTRY="${urls%,}"
  savoryrudder config check "examples/$1.toml"
  savoryrudder config apply "examples/$1.toml" --author demo --wait 10 | tail -2
  wait_ready
  savoryrudder submit --client "$5" --service "$2" --urgency urgent \
    --deadline_ms 10000 --wait 10 --key "demo-$1" --json \
    --tasks "examples/jobs/$2.json" > "$dir/answer.json"
  python - "$dir/answer.json" <<'CHECK'
import json, sys
answer = json.load(open(sys.argv[1]))['answer']
assert answer['status'] == 'complete', answer
assert len(answer['tasks']) == 3, answer
for task in answer['tasks']:
    print('  ', json.dumps(task['result']))
CHECK
  # Resubmission with the same key through the other entry.
  SAVORYRUDDER_ENTRY="$(cut -d, -f2 <<< "$SAVORYRUDDER_ENTRY")" \
    savoryrudder submit --client "$5" --service "$2" --urgency urgent \
    --deadline_ms 10000 --wait 10 --key "demo-$1" --json \
    --tasks "examples/jobs/$2.json" > "$dir/again.json"
  cmp "$dir/answer.json" "$dir/again.json"
  echo "   resubmitted through the other entry: same answer"
  # A job of the maximum size.
  python -c "
import json
print(json.dumps([{'operation': '$7', 'payload': {'run_ms': 60}}] * 170))
" > "$dir/large.json"
  savoryrudder submit --client "$8" --service "$2" --wait 20 \
    --deadline_ms 20000 --json --tasks "$dir/large.json" |
    python -c "
import json, sys
answer = json.load(sys.stdin)['answer']
assert answer['status'] == 'complete' and len(answer['tasks']) == 170, answer
print('   170 tasks complete')"
  savoryrudder status
  stop_all "${agent_pids[@]}"
  stop_all "${entry_pids[@]}"
  stop_all "${stand_in_pids[@]}"
  # Prints the trace of the first job.
  local trace
  trace=$(grep -h '"receive-job"' "$dir"/entry-*.spans | python -c "
import json, sys
print(next(
    span['trace_id']
    for span in map(json.loads, sys.stdin)
    if span['attributes']['tasks'] == 3
))")
  savoryrudder traces --trace "$trace" \
    --files "$(printf '%s,' "$dir"/*.spans)"
}

wait_ready() {
  for _ in $(seq 100); do
    if savoryrudder status --json | python -c "
import json, sys
status = json.load(sys.stdin)
agents = [a for a in status['agents'] if a['credits']]
sys.exit(not (len(agents) == 3 and len(status['live_entries']) == 2))
"; then return 0; fi
    sleep 0.1
  done
  echo 'demo: agents and entries did not link in time' >&2
  return 1
}

stop_all() {
  kill -TERM "$@"
  for pid in "$@"; do wait "$pid"; done
}

run_deployment kaca-potong pane "Shah Alam" Petaling shop-ipoh \
  '"cutting-plan", "sheet-quote", "offcut-check"' sheet-quote head-office
run_deployment cvetna-pot rounds Zale Vič family-portal \
  '"wreath-order", "route", "quote"' route florist-vic
echo "demo: all answers were right"
