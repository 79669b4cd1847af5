# Shared by the run.sh of the second review's scripts: plays a case with the commands of the deploy file.
# shellcheck shell=bash
# run_world_2 CASE FOLDER
run_world_2 ()
{
  local case=$1 folder=$2 balancer agent settings result
  cd "$folder/../.." || return 2
  balancer=$(sed -nE 's/^run = "(.*) --settings .*"/\1/p' deploy/system.toml | sed -n 1p)
  agent=$(sed -nE 's/^run = "(.*) --settings .*"/\1/p' deploy/system.toml | sed -n 2p)
  if [ ! -x review/bin-2/world-2 ] || [ ! -x "${balancer%% *}" ] || [ ! -x "${agent%% *}" ]; then
    echo "build first: the line of deploy/system.toml, and review/build-2.sh" >&2
    return 2
  fi
  settings=$(mktemp -d) || return 2
  result=0
  timeout -k 5 110 review/bin-2/world-2 "$case" "$balancer" "$agent" "$settings" "$folder/record.txt" || result=$?
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs kept in $settings"; else rm -rf "$settings"; fi
  case $result in 0 | 1) return "$result" ;; *) return 2 ;; esac
}
