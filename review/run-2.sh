#!/usr/bin/env bash
# Runs a class of the stand-ins; run.sh of each case calls it, after the build of the deploy file and of build-2.sh.
set -uo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source tools/choose-java.sh
choose_java
if [ ! -d target/review-2 ] || [ ! -x target/runtime/bin/java ]; then
  echo "run tools/build-deployment and review/build-2.sh first" >&2
  exit 2
fi
exec timeout --signal=TERM 118 "$JAVA_HOME/bin/java" -Xmx640m -XX:+UseSerialGC -cp "target/review-2:target/lib/*" "$@"
