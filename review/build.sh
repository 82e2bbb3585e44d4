#!/usr/bin/env bash
# Builds the stand-ins of all scripts into target/review/; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
source tools/choose-java.sh
choose_java
mkdir -p target/review/classes
"$JAVA_HOME/bin/javac" -d target/review/classes -cp 'target/lib/*' review/stand-ins/review/*.java
