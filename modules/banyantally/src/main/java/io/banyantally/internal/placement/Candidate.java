package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import java.util.Optional;

/**
 * An upstream that could serve a request, with the inputs of the placement decision.
 *
 * @param outstanding requests of this process that are waiting or running at the upstream
 * @param outstandingWork the time that those requests keep the upstream busy, in milliseconds
 * @param peerRequests requests of other VMs at the upstream, by their recent messages
 * @param peerWork the time that those requests keep the upstream busy, in milliseconds
 * @param load the load that the upstream reported last
 * @param outstandingAtLoad requests of this process at the upstream when the load was reported
 * @param loadAgeNanos the age of the reported load, in nanoseconds
 * @param observedWaitMillis how long requests of this process wait at the upstream, in milliseconds
 * @param slotMillis the moving mean of how long requests of this process occupy a slot, in milliseconds; 0 if none has
 *     ended
 * @param pace the time that work takes at the upstream now divided by the usual time; 1 if it does not report it
 * @param refusing whether the upstream has refused a request a moment ago
 * @param trusted whether the upstream is healthy enough to get a request now
 */
public record Candidate(
        ReplicaEntry entry,
        int outstanding,
        double outstandingWork,
        int peerRequests,
        double peerWork,
        Optional<ReportedLoad> load,
        int outstandingAtLoad,
        long loadAgeNanos,
        double observedWaitMillis,
        double slotMillis,
        double pace,
        boolean refusing,
        boolean trusted) {}
