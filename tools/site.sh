#!/usr/bin/env bash
# Starts a site with the sizes of Quito on this machine: a platform stand-in, 6 engines, 3 plain services and 6 entry
# daemons. Sourced by tools/run-demo and tools/measure-site, which set `root`. Kills its processes when the
# script exits.

work="$(mktemp -d)"
started_processes=()

java_options=(-Djava.util.logging.manager=org.jboss.logmanager.LogManager --enable-native-access=ALL-UNNAMED
  --sun-misc-unsafe-memory-access=allow -XX:+UseSerialGC -XX:TieredStopAtLevel=1)
daemon_classes="$root/modules/banyantally-daemon/target/classes:$root/modules/banyantally-daemon/target/lib/*"
stand_in_classes="$root/modules/banyantally-stand-ins/target/classes:$root/modules/banyantally-stand-ins/target/lib/*"

stop_all() {
  local process
  for process in "${started_processes[@]:-}"; do
    if [ -n "$process" ]; then kill -KILL "$process" 2>/dev/null || true; fi
  done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT

# start NAME HEAP CLASSES MAIN ARGUMENTS...: starts a Java process in the background; sets last_process to its id.
start() {
  local name="$1" heap="$2" classes="$3" main="$4"
  shift 4
  "$JAVA_HOME/bin/java" "-Xmx$heap" "${java_options[@]}" -cp "$classes" "$main" "$@" \
    >"$work/$name.out" 2>"$work/$name.log" &
  last_process=$!
  started_processes+=("$last_process")
}

# field NAME KEY: waits until the process has printed KEY=value and prints the value.
field() {
  local value="" attempts=0
  while [ -z "$value" ]; do
    value="$(sed -n "s/.*\b$2=\([^ ]*\).*/\1/p" "$work/$1.out" | head -n 1)"
    if [ -z "$value" ]; then
      attempts=$((attempts + 1))
      if [ "$attempts" -gt 300 ]; then
        echo "$1 did not print $2= within 30 s; last lines of its log:" >&2
        tail -n 20 "$work/$1.log" >&2
        exit 1
      fi
      sleep 0.1
    fi
  done
  echo "$value"
}

demo_step() {
  "$JAVA_HOME/bin/java" -Xmx256m "${java_options[@]}" -cp "$stand_in_classes" io.banyantally.standins.Main demo-step "$@"
}

echo "starting platform, 6 engines, 3 plain services and 6 entry daemons"
start platform 128m "$stand_in_classes" io.banyantally.standins.Main stand-in platform --directory-lag-millis 500
zones=(quito-n quito-s ambato)
for number in 1 2 3 4 5 6; do
  start "engine-$number" 128m "$stand_in_classes" io.banyantally.standins.Main stand-in engine --model asistente
done
for number in 1 2 3; do
  start "service-$number" 96m "$stand_in_classes" io.banyantally.standins.Main stand-in service --delay-millis 20
done
platform="$(field platform address)"

salt="00112233445566778899aabbccddeeff"
token="$(head -c 24 /dev/urandom | od -An -tx1 | tr -d ' \n')"
printf '%s' "$token" >"$work/token"
token_hash="$({ printf '%b' "$(printf '%s' "$salt" | sed 's/../\\x&/g')"; printf '%s' "$token"; } | sha256sum | cut -d ' ' -f 1)"

declare -A entry_process
for number in 1 2 3 4 5 6; do
  zone="${zones[$(((number - 1) % 3))]}"
  cat >"$work/entry-$number.json" <<SETTINGS
{"vm": "quito-entry-$number", "site": "quito", "region": "sierra", "zone": "$zone",
 "callers": "127.0.0.1:0", "peers": "127.0.0.1:0",
 "distances": [{"zone": "quito-n", "milliseconds": 1}, {"zone": "quito-s", "milliseconds": 1}, {"zone": "ambato", "milliseconds": 1}],
 "platform": {"keyValueStore": "$platform", "upstreamOrdering": "$platform", "usageReports": "$platform",
  "vmDirectory": "$platform", "weightStore": "$platform"},
 "usageWindowSeconds": 4, "addressTimeToLiveMillis": 2000,
 "operatorToken": {"salt": "$salt", "hash": "$token_hash"}}
SETTINGS
  start "entry-$number" 192m "$daemon_classes" io.banyantally.daemon.Main entry --settings "$work/entry-$number.json"
  entry_process[$number]="$last_process"
done

entries=""
: >"$work/directory"
for number in 1 2 3 4 5 6; do
  zone="${zones[$(((number - 1) % 3))]}"
  echo "quito-entry-$number ENTRY $zone - $(field "entry-$number" peers)" >>"$work/directory"
  echo "asistente-$number ENGINE $zone asistente $(field "engine-$number" address)" >>"$work/directory"
  entries="$entries${entries:+,}$(field "entry-$number" callers)"
done
for number in 1 2 3; do
  echo "reservas-$number PLAIN_SERVICE ${zones[$((number - 1))]} reservas $(field "service-$number" address)" >>"$work/directory"
done

demo_step prepare --platform "$platform" --entries "$entries" --token-file "$work/token" --directory "$work/directory" \
  --accounts "$work/accounts.json"
