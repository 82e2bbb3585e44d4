package io.banyantally.internal.crash;

import java.util.List;

/**
 * A crash of an upstream as one VM observed it, as stored.
 *
 * @param upstream the id and the start of the upstream, equal in the reports of all VMs
 * @param episode a number that grows by one for each crash that follows {@link CrashLedger#EPISODE} after the first of
 *     the previous episode
 * @param parts the shared parts of all prompts that the VM had at the upstream
 */
record CrashReport(String upstream, long episode, List<String> parts) {

    CrashReport {
        parts = List.copyOf(parts);
    }
}
