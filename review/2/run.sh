#!/usr/bin/env bash
# Removals of replicas that do not report draining, while the store cuts the watches that wait.
# TROUBLE=0 removes the same entries and cuts no watch.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" "$(dirname "${BASH_SOURCE[0]}")" LateRemoval
