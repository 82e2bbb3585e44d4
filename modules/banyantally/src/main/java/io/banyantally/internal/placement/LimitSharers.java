package io.banyantally.internal.placement;

import java.time.Duration;

/**
 * The VMs that share the limits of upstreams, as one VM knows them.
 *
 * @param vms how many VMs there are, this one included
 * @param heard of how many VMs the recent sends are known, this one included
 * @param knowledgeAge how old the known sends of other VMs are at most
 */
public record LimitSharers(int vms, int heard, Duration knowledgeAge) {

    /** Returns the part of a limit that the VMs which this one hears, and itself, may use together. */
    double heardPart() {
        return Math.min(1, (double) heard / Math.max(1, vms));
    }
}
