# Shared by scripts/demo and scripts/faults: functions that start and stop the processes of a test run on
# loopback. Sourced by bash in the root of the project after a build, with the start time of the run in
# $begin. If KEEP_FILES is set, the files of the run are kept.
# shellcheck shell=bash

declare -gA pids
declare -gA expected_end

# Each host gets a loopback address of its own; the network is derived from the process id, so that
# concurrent runs do not share addresses.
net=127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))
build=$PWD/build
dir=$(mktemp -d)
mkdir "$dir/log" "$dir/settings" "$dir/report"
platform=""
# UDP addresses of the fabric for the packets of clients, and of balancers and agents.
clients_socket=$net.2:6000
hosts_socket=$net.2:6001
order_desk=198.51.100.10
sheet_service=198.51.100.11

cleanup ()
{
  local name
  for name in "${!pids[@]}"; do
    kill -CONT "${pids[$name]}" 2>/dev/null || true
    kill -9 "${pids[$name]}" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  if [ -n "${KEEP_FILES:-}" ]; then echo "files kept in $dir"; else rm -rf "$dir"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

log_step ()
{
  printf '%6.1f s  %s\n' "$(awk -v a="$begin" -v b="$(date +%s.%N)" 'BEGIN { print b - a }')" "$*"
}

# start_process NAME COMMAND...: runs a command in the background with its output in a log
start_process ()
{
  local name=$1
  shift
  "$@" >>"$dir/log/$name.log" 2>&1 &
  pids[$name]=$!
  unset "expected_end[$name]"
}

# stop_process NAME SIGNAL: sends the signal; the end of the process no longer counts as a failure
stop_process ()
{
  expected_end[$1]=1
  kill "-$2" "${pids[$1]}"
  # Wait here, so that the shell does not report the killed job.
  [ "$2" != KILL ] || wait "${pids[$1]}" 2>/dev/null || true
}

# wait_for_exit NAME SECONDS: fails if the process still runs after SECONDS
wait_for_exit ()
{
  local i
  for ((i = 0; i < $2 * 10; i++)); do
    kill -0 "${pids[$1]}" 2>/dev/null || return 0
    sleep 0.1
  done
  echo "$1 did not exit within $2 s"
  return 1
}

# send_command ADDRESS:PORT TEXT: sends a command datagram and prints the reply
send_command ()
{
  exec 9<>"/dev/udp/${1%:*}/${1#*:}"
  echo "$2" >&9
  timeout 2 dd bs=4096 count=1 status=none <&9 || true
  exec 9>&-
}

# fabric_command WORD...: sends a command to the fabric, such as "loss PERCENT"
fabric_command ()
{
  [ "$(send_command "$net.2:6002" "$*")" = ok ] || { echo "fabric rejected the command: $*"; return 1; }
}

contacts ()
{
  echo "[\"$net.11:7000\", \"$net.12:7000\", \"$net.101:7000\"]"
}

start_platform ()
{
  local i
  start_process platform "$build/platform" 0
  for ((i = 0; i < 50; i++)); do
    platform=$(grep -m 1 '^http' "$dir/log/platform.log" || true)
    [ -z "$platform" ] || return 0
    sleep 0.1
  done
  echo "platform did not print its address within 5 s"
  return 1
}

start_fabric ()
{
  start_process fabric "$build/fabric" --clients "$clients_socket" --hosts "$hosts_socket" \
    --control "$net.2:6002" --seed 7 "$@"
}

# start_balancer NUMBER
start_balancer ()
{
  local host=$net.$((10 + $1)) file=$dir/settings/balancer-$1.toml
  cat >"$file" <<END
name = "balancer-$1"
host = "balancer-host-$1"
availability_zone = "brasov-$((($1 - 1) % 3 + 1))"
control_address = "$host:7000"
data_address = "$host:7001"
platform = "$platform"
contacts = $(contacts)
network = { kind = "udp", address = "$host:7002", peer = "$hosts_socket" }
END
  start_process "balancer-$1" "$build/waxwinghitch" balancer --settings "$file"
}

balancer_socket ()
{
  echo "$net.$((10 + $1)):7002"
}

# endpoint_address NAME
endpoint_address ()
{
  case $1 in
    order-desk-*) echo "$net.$((100 + ${1##*-}))" ;;
    sheet-service-*) echo "$net.$((150 + ${1##*-}))" ;;
  esac
}

# start_backend NAME
start_backend ()
{
  local host service=${1%-*} address=$order_desk ports="--port 8080 --port 8081"
  host=$(endpoint_address "$1")
  [ "$service" = order-desk ] || { address=$sheet_service; ports="--port 8090 --port 8091"; }
  # shellcheck disable=SC2086
  start_process "backend-$1" "$build/backend" --name "$1" --service "$service" --address "$address" $ports \
    --listen "$host:7004" --agent "$host:7003" --control "$host:7005" --slots 4 \
    --report "$dir/report/$1" --stop-limit 60000
}

# start_agent NAME
start_agent ()
{
  local host file=$dir/settings/agent-$1.toml
  host=$(endpoint_address "$1")
  cat >"$file" <<END
name = "$1"
host = "host-$1"
availability_zone = "brasov-$(((${1##*-} - 1) % 3 + 1))"
control_address = "$host:7000"
data_address = "$host:7001"
platform = "$platform"
contacts = $(contacts)
service = "${1%-*}"
stop_limit = "${stop_limit:-40s}"
network = { kind = "udp", address = "$host:7002", peer = "$hosts_socket" }
server = { kind = "udp", address = "$host:7003", peer = "$host:7004" }
END
  start_process "agent-$1" "$build/waxwinghitch-agent" --settings "$file"
}

start_endpoint ()
{
  start_backend "$1"
  start_agent "$1"
}

# apply_config DIRECTORY [OPERATOR]
apply_config ()
{
  "$build/waxwinghitch" apply "$1" --platform "$platform" --operator "${2:-testbed}" --timeout 10s
}

# wait_for_config NODE VERSION MEMBERS SECONDS: waits until at least MEMBERS members
# that NODE lists know as many members and have VERSION or a newer one in effect, and all respond
wait_for_config ()
{
  local i status="" members=0
  for ((i = 0; i < $4 * 5; i++)); do
    status=$("$build/waxwinghitch" status --json --timeout 1s --node "$1" 2>/dev/null || true)
    members=$(grep -o '"version":[0-9]*,"members_alive":[0-9]*' <<<"$status" |
      awk -F '[:,]' -v v="$2" -v m="$3" '$2 >= v && $4 >= m' | wc -l)
    [ "$members" -ge "$3" ] && ! grep -q '"answered":false' <<<"$status" && return 0
    sleep 0.2
  done
  echo "not ready: $members of $3 members know all members and have version $2 in effect"
  "$build/waxwinghitch" status --timeout 1s --node "$1" || true
  return 1
}

# start_caller NAME SECONDS OPTIONS...
start_caller ()
{
  local name=$1 seconds=$2
  shift 2
  start_process "$name" "$build/caller" --listen "$net.3:6010" --fabric "$clients_socket" \
    --clients 203.0.113.1 --client-count 190 --seconds "$seconds" --grace 30 \
    --log "$dir/report.$name" "$@"
}

# set_standard_mixes SCALE: sets $mixes to options of the load generator for all classes of flows; SCALE
# multiplies the rates
set_standard_mixes ()
{
  local s=$1
  mixes=(
    --mix "name=status,service=order-desk,target=$order_desk:8080,rate=$((60 * s)),bytes=200,work=20"
    --mix "name=entry,service=order-desk,target=$order_desk:8081,rate=$((6 * s)),bytes=2000,work=40,requests=5,pause=800"
    --mix "name=idle,service=order-desk,target=$order_desk:8080,rate=$((3 * s)),bytes=200,work=10,idle=6000"
    --mix "name=sheet-check,service=sheet-service,target=$sheet_service:8090,rate=$((15 * s)),bytes=200,work=20"
    --mix "name=sheet,service=sheet-service,target=$sheet_service:8091,rate=$((2 * s)),bytes=1500000,work=100"
    --mix "name=sheet-slow,service=sheet-service,target=$sheet_service:8091,rate=0.$((4 * s)),bytes=1500000,work=50,pace=200000"
  )
}

# stop_backends: stops all backend servers, which makes them write their reports
stop_backends ()
{
  local name
  for name in "${!pids[@]}"; do
    case $name in backend-*) kill -0 "${pids[$name]}" 2>/dev/null && stop_process "$name" TERM ;; esac
  done
  for name in "${!pids[@]}"; do
    case $name in backend-*) wait_for_exit "$name" 10 || true ;; esac
  done
}

# check_runs NAME...: fails if a request ran twice, or if it ran although a load generator NAME got a
# refusal for it
check_runs ()
{
  local twice refused_ran runs
  runs=$(cat "$dir"/report/* | wc -l)
  twice=$( (cat "$dir"/report/* | awk '{ runs[$1] += $2 } END { for (id in runs) if (runs[id] > 1) print id }') | wc -l)
  refused_ran=$(for name in "$@"; do awk '$2 == "refused" { print $1 }' "$dir/report.$name"; done |
    sort | join - <(cat "$dir"/report/* | awk '{ print $1 }' | sort) | wc -l)
  echo "requests run: $runs, run twice: $twice, refused but run: $refused_ran"
  [ "$twice" -eq 0 ] && [ "$refused_ran" -eq 0 ] && [ "$runs" -gt 0 ]
}

# dump_state NODE: prints the members that NODE lists and the counters of all agents that are not zero
dump_state ()
{
  local name
  "$build/waxwinghitch" status --timeout 1s --node "$1" || true
  for name in "${!pids[@]}"; do
    case $name in agent-*) ;; *) continue ;; esac
    kill -0 "${pids[$name]}" 2>/dev/null || continue
    echo "$name: $("$build/waxwinghitch" metrics --timeout 1s \
      --node "$(endpoint_address "${name#agent-}"):7000" | grep -v ' 0$' | tr '\n' ' ')"
    echo "  server: $(send_command "$(endpoint_address "${name#agent-}"):7005" stats)"
  done
}

# check_processes: fails if a process ended unexpectedly
check_processes ()
{
  local name result=0
  for name in "${!pids[@]}"; do
    [ -z "${expected_end[$name]:-}" ] || continue
    kill -0 "${pids[$name]}" 2>/dev/null && continue
    echo "$name ended unexpectedly:"
    tail -n 5 "$dir/log/$name.log"
    result=1
  done
  return $result
}
