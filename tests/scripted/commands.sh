#!/usr/bin/env bash
# Runs the operator commands against stand-ins for the object store and a node, and compares output
# and exit codes with commands.expected. Guards against unintended changes of messages, exit codes
# and JSON. With the argument "update" it writes the expected output instead.
set -u
cd "$(dirname "$0")"
bin=${WH_BINARY_DIR:-../../build}
work=$(mktemp -d)
pids=""
cleanup () { [ -z "$pids" ] || kill $pids 2>/dev/null; rm -rf "$work"; }
trap cleanup EXIT

# Starts a stand-in and sets $address to the first line that it prints, its address.
start () {
  "$bin/$1" ${2:-} >"$work/$1.out" &
  pids="$pids $!"
  for _ in $(seq 100); do
    address=$(head -n 1 "$work/$1.out" 2>/dev/null)
    [ -z "$address" ] || return 0
    sleep 0.05
  done
  echo "$1 did not start"
  exit 1
}

# Sets the faults that the stand-in for the object store simulates, as JSON.
faults () {
  exec 3<>"/dev/tcp/127.0.0.1/${platform##*:}"
  printf 'POST /faults HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "${#1}" "$1" >&3
  cat <&3 >/dev/null
  exec 3>&-
}

# Runs a command and prints it with its output and exit code.
run () {
  echo "\$ waxwinghitch $*" | normalize
  "$bin/waxwinghitch" "$@" >"$work/output" 2>&1
  local code=$?
  normalize <"$work/output"
  echo "exit code $code"
}

# Replaces addresses, paths and apply ids, which differ between runs.
normalize () {
  sed -E -e "s#${platform}#PLATFORM#g" -e "s#$work#WORK#g" -e 's#127\.0\.0\.1:[0-9]+ *#NODE #g' \
    -e 's/[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}/APPLY-ID/g'
}

script () {
  start platform 0
  platform=$address
  start node
  node=$address
  mkdir "$work/bad"
  printf '[[service]]\nname = "a"\nslots = "4"\ncolour = 1\n' >"$work/bad/a.toml"
  printf 'x = \n' >"$work/bad/b.toml"
  cp -r ../../examples/brasov "$work/changed"
  sed -i -e 's/^slots = 4/slots = 5/' -e '/8081/d' "$work/changed/services.toml"
  printf 'drain_hosts = ["host-3"]\n' >"$work/changed/drain.toml"
  sed -i '/^drain_hosts/d' "$work/changed/zones.toml"

  run --help
  run
  run fly
  run validate
  run validate ../../examples/brasov
  run validate --json ../../examples/huber
  run validate "$work/bad"
  run validate --json "$work/bad"
  run validate "$work/none"
  run diff ../../examples/brasov --platform "$platform"
  run diff "$work/changed" --from ../../examples/brasov
  run diff "$work/changed"
  run diff "$work/changed" --platform ftp://192.0.2.1
  run apply ../../examples/brasov --platform "$platform" --operator "ana maria"
  run apply ../../examples/brasov --platform "$platform" --operator ana
  run apply ../../examples/brasov --platform "$platform" --operator ana
  run diff "$work/changed" --platform "$platform" --json
  run apply "$work/changed" --platform "$platform" --operator ion --expect-version 0
  run apply "$work/changed" --platform "$platform" --operator ion --expect-version 0 --json
  faults '{"lose_writes":4}'
  run apply "$work/changed" --platform "$platform" --operator ion --expect-version 1
  faults '{"lose_writes":4,"down_after_writes":4}'
  run apply ../../examples/huber --platform "$platform" --operator ion --timeout 2s
  faults '{"lose_writes":1,"down_after_writes":1}'
  run apply ../../examples/huber --platform "$platform" --operator ion --timeout 2s
  faults '{"down":true}'
  run apply ../../examples/huber --platform "$platform" --operator ion --timeout 2s --json
  run diff ../../examples/huber --platform "$platform" --timeout 2s
  faults '{"slow_ms":3000}'
  run apply ../../examples/brasov --platform "$platform" --operator ion --timeout 500ms
  faults '{}'
  run apply ../../examples/huber --platform "$platform" --operator ion
  run status --node "$node"
  run status --node "$node" --json
  run status --node 127.0.0.1:9 --timeout 200ms
  run metrics --node "$node" | uniq -c
  run metrics --node "$node" --json
  run metrics --node nowhere
  run explain "100.65.1.145:1094>198.18.0.1:8443" logs/refused.log
  run explain "127.77.0.1:3445>198.18.0.1:1001" logs/lost.log
  run explain q-1520 logs/refused.log logs/lost.log logs/silent.log
  run explain 064b5cd6ff9d00d5 logs/crashed.log
  run explain 100.65.1.145 logs/refused.log logs/crashed.log
  run explain q-none logs/lost.log
  run explain
  run balancer
  run balancer --settings "$work/none.toml"
  run balancer --settings ../../examples/settings/agent.toml
}

if [ "${1:-}" = update ]; then
  script >commands.expected
else
  script >"$work/actual"
  diff -u commands.expected "$work/actual"
fi
