#!/usr/bin/env bash
# Runs the main class of a case: run-case.sh FOLDER CLASS. Exits with 1 if the rule was broken, 0 if it held, 2 otherwise.
set -uo pipefail
folder="$(cd "$1" && pwd)"
cd "$(dirname "${BASH_SOURCE[0]}")/.." || exit 2
source tools/choose-java.sh
choose_java
temporary="$(mktemp -d)"
trap 'rm -rf "$temporary"' EXIT
timeout --kill-after=1 117 "$JAVA_HOME/bin/java" -Xmx512m -cp 'target/review/classes:target/lib/*' "review.$2" \
  "$folder/record.txt" "$temporary"
case $? in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
