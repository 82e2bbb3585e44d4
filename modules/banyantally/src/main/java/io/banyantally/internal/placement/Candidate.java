package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import java.util.Optional;

/**
 * An upstream that could serve a request, with the inputs of the decision.
 *
 * @param outstanding requests of this process that run there
 * @param outstandingWork the time that those requests keep the upstream busy, in milliseconds
 * @param peerRequests requests of other VMs that run there, as far as they said so lately
 * @param peerWork the time that those keep it busy, in milliseconds
 * @param load the load that the upstream reported last
 * @param outstandingAtLoad requests of this process that ran there when it was reported
 * @param loadAgeNanos the age of that load
 * @param observedWait how long requests of this process wait there, in milliseconds
 * @param heldMillis how long requests of this process keep a slot there lately; 0 if none has ended
 * @param refusing whether it has just refused a request
 * @param trusted whether recent failures allow to send there
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
        double observedWait,
        double heldMillis,
        boolean refusing,
        boolean trusted) {

    /** Returns the same candidate with a newer entry of the same lifetime. */
    Candidate withEntry(ReplicaEntry newer) {
        return new Candidate(
                newer,
                outstanding,
                outstandingWork,
                peerRequests,
                peerWork,
                load,
                outstandingAtLoad,
                loadAgeNanos,
                observedWait,
                heldMillis,
                refusing,
                trusted);
    }
}
