#!/usr/bin/env bash
# Removals of replicas that do not report draining, while the store cuts the watches that wait.
exec "$(dirname "${BASH_SOURCE[0]}")/../run-case.sh" "$(dirname "${BASH_SOURCE[0]}")" LateRemoval
