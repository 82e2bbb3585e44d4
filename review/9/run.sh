#!/usr/bin/env bash
# A manifest has a tenant whose name has spaces, and takes a key away.
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
exec "$here/../run-2.sh" ConfigurationCase "$here/record.txt" name
