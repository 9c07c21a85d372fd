# Starts and stops a site of separate processes, for scripts/fleet and scripts/measure.

work=""
standin_pid=""
declare -A node_pid=()
base_port=${BASE_PORT:-17000}
hosts=8

site_flags() {
  case "$1" in
    retourvat) echo "--engines 10 --engine-pool assistant --runner-pool returns --region be-central --data-centres antwerp,gent,liege,charleroi --set examples/retourvat/set.ini" ;;
    arhiva) echo "--engines 20 --engine-pool reading --runner-pool archive --region ro-west --data-centres galati-1,galati-2,braila-1,braila-2 --set examples/arhiva/set.ini" ;;
    *) echo "unknown site $1" >&2; return 1 ;;
  esac
}

# site_start SITE ROUTING [STANDIN_FLAG...]
site_start() {
  local site=$1 routing=$2
  shift 2
  work=$(mktemp -d)
  standin_flags="$(site_flags "$site") --hosts $hosts --runners 4 --base-port $base_port $*"
  # shellcheck disable=SC2086
  .bin/standin $standin_flags > "$work/standin.log" 2>&1 &
  standin_pid=$!
  for i in $(seq "$hosts"); do
    # shellcheck disable=SC2086
    .bin/standin $standin_flags --settings "Routing = $routing" --print-settings "host-$i" > "$work/host-$i.ini"
    node_start "$i"
  done
  for i in $(seq "$hosts"); do await_ready "$i"; done
}

# await_ready I: fails when the stand-ins or the node have exited, or after about 20 seconds.
await_ready() {
  local tries
  for tries in $(seq 200); do
    curl -fsS "http://$(host_address "$1" callers)/readyz" > /dev/null 2>&1 && return 0
    kill -0 "$standin_pid" 2> /dev/null || { cat "$work/standin.log" >&2; return 1; }
    kill -0 "${node_pid[$1]}" 2> /dev/null || { cat "$work/host-$1.log" >&2; return 1; }
    sleep 0.1
  done
  echo "host-$1 was not ready after $tries tries" >&2
  return 1
}

node_start() {
  .bin/balsamknot node --settings "$work/host-$1.ini" --log-level info > /dev/null 2>> "$work/host-$1.log" &
  node_pid[$1]=$!
}

node_signal() { kill "-$2" "${node_pid[$1]}"; }

# host_address I callers|operators|metrics
host_address() { awk -v h="host-$1" -v w="$2" '$1 == h { for (n = 2; n < NF; n++) if ($n == w) print $(n + 1) }' "$work/standin.log"; }

# addresses PREFIX: of engines or runners, separated by commas
addresses() { awk -v p="$1" 'index($1, p) == 1 { print $2 }' "$work/standin.log" | paste -sd, -; }

host_addresses() { for i in $(seq "$hosts"); do host_address "$i" "$1"; done | paste -sd, -; }

site_stop() {
  trap - EXIT INT TERM
  for pid in "${node_pid[@]}"; do kill -KILL "$pid" 2> /dev/null || true; done
  kill -TERM "$standin_pid" 2> /dev/null || true
  wait 2> /dev/null || true
  node_pid=()
}
