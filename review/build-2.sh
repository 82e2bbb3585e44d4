#!/usr/bin/env bash
# Compiles the stand-ins of this review with the JDK and the libraries of the deployment, after the build of the deploy
# file. Needs no network.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
cd "$root"
source tools/choose-java.sh
choose_java
rm -rf target/review-2
mkdir -p target/review-2
"$JAVA_HOME/bin/javac" -Xlint:all -d target/review-2 -cp "target/lib/*" review/stand-ins-2/*.java
