#!/usr/bin/env bash
# Lesson 2: run a small site on loopback, send a prompt, drain and restore a data centre.
#
# Stand-ins replace the platform and two model engines. An agent runs beside each engine, and callers
# connect to the entry. All processes are stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
fuchsiaweir=${FW_BINARY:-build/fuchsiaweir}
standin=${FW_STANDIN:-build/fuchsiaweir_standin}
work=$(mktemp -d)
started=()
trap 'kill "${started[@]}" 2>/dev/null || true; wait; rm -rf "$work"' EXIT

start() {
  "$@" >>"$work/log" 2>&1 &
  started+=($!)
}

# request METHOD PORT PATH [BODY]: sends an HTTP request and prints the response.
request() {
  local body=${4:-}
  exec 3<>"/dev/tcp/127.0.0.1/$2"
  printf '%s %s HTTP/1.1\r\nHost: lesson\r\nAuthorization: Bearer lesson-key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
    "$1" "$3" "${#body}" "$body" >&3
  cat <&3
  exec 3>&-
}

# Repeats a command every 0.1 s until it succeeds; fails after 200 attempts.
eventually() {
  for _ in $(seq 200); do
    "$@" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "did not succeed in 200 attempts: $*" >&2
  return 1
}

responds_ok() { request GET "$1" "$2" | grep -q '^HTTP/1.1 200'; }

echo "1. The settings of a process name its host, data centre, port and the address of the platform."
for process in "entry 17610 north" "agent-north 17611 north" "agent-south 17612 south"; do
  read -r host port data_centre <<<"$process"
  printf '[process]\nhost = %s\ndata_centre = %s\nlisten_port = %s\n[platform]\naddress = 127.0.0.1\nport = 17600\n' \
    "$host" "$data_centre" "$port" >"$work/$host.ini"
done

echo "2. The inventory declares hosts, models, runners and teams. The digest of its key identifies a team."
digest=$(printf 'lesson-key' | sha256sum | cut -d' ' -f1)
cat >"$work/site.ini" <<INI
[data_centre north]
region = lesson
[data_centre south]
region = lesson
[host entry]
data_centre = north
address = 127.0.0.1
port = 17610
role = entry
[host agent-north]
data_centre = north
address = 127.0.0.1
port = 17611
role = agent
[host agent-south]
data_centre = south
address = 127.0.0.1
port = 17612
role = agent
[model notes]
version = v1
[runner runner-north]
host = agent-north
model = notes
address = 127.0.0.1
port = 17621
[runner runner-south]
host = agent-south
model = notes
address = 127.0.0.1
port = 17622
[team fitters]
key_digests = $digest
INI
"$fuchsiaweir" check "$work/site.ini"

echo "3. Stand-ins, agents and the entry start; the inventory is applied."
start "$standin" platform --port=17600
start "$standin" engine --port=17621 --model=notes
start "$standin" engine --port=17622 --model=notes
eventually responds_ok 17600 /stats
start "$fuchsiaweir" agent "--settings=$work/agent-north.ini"
start "$fuchsiaweir" agent "--settings=$work/agent-south.ini"
start "$fuchsiaweir" entry "--settings=$work/entry.ini"
platform="--platform=127.0.0.1:17600"
"$fuchsiaweir" apply "$work/site.ini" "$platform" --who=lesson
eventually responds_ok 17610 /readyz

echo "4. A caller sends a prompt:"
prompt='{"model":"notes","prompt":"a fitting note","max_tokens":4}'
request POST 17610 /v1/completions "$prompt" | tail -n 1
echo

echo "5. Data centre north is drained; data centre south serves the prompts:"
"$fuchsiaweir" drain dc north "$platform" --who=lesson --wait
"$fuchsiaweir" status "$platform"
request POST 17610 /v1/completions "$prompt" | grep -q '^HTTP/1.1 200'

echo "6. Data centre north is restored; the audit trail lists each change:"
"$fuchsiaweir" restore dc north "$platform" --who=lesson --wait
"$fuchsiaweir" audit "$platform"
