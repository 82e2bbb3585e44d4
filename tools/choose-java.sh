# Sets JAVA_HOME to a JDK that is new enough; sourced by the launcher and the tools.
required_java=25

# Prints the major version of the JDK in a folder, or 0.
java_major() {
  if [ -x "$1/bin/javac" ] && [ -r "$1/release" ]; then
    sed -n 's/^JAVA_VERSION="\([0-9]*\).*/\1/p' "$1/release" | head -n 1
  else
    echo 0
  fi
}

choose_java() {
  if [ -n "${JAVA_HOME:-}" ] && [ "$(java_major "$JAVA_HOME")" -ge "$required_java" ]; then
    return
  fi
  local candidate
  for candidate in /usr/lib/jvm/*/; do
    candidate="${candidate%/}"
    if [ "$(java_major "$candidate")" -ge "$required_java" ]; then
      export JAVA_HOME="$candidate"
      return
    fi
  done
  echo "banyantally: needs a JDK $required_java or newer; install one and set JAVA_HOME to its folder" >&2
  exit 2
}
