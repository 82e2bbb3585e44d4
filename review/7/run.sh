#!/usr/bin/env bash
# Entries of another writer that can't be read, 7 of 1 MiB in one transaction; then a replica leaves.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "$here/../run-2.sh" DrainCase "$here/record.txt" 7 1 0 4000
