package io.banyantally.internal.placement;

import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.deployment.ReportedLoad;
import java.util.Optional;

/**
 * An upstream that could serve a request, with the inputs of the decision.
 *
 * @param outstanding requests of this process that run there
 * @param outstandingWork the time that those requests keep the upstream busy, in milliseconds
 * @param load the load that the upstream reported last
 * @param outstandingAtLoad requests of this process that ran there when it was reported
 * @param loadAgeNanos the age of that load
 * @param trusted whether recent failures allow to send there
 */
public record Candidate(
        ReplicaEntry entry,
        int outstanding,
        double outstandingWork,
        Optional<ReportedLoad> load,
        int outstandingAtLoad,
        long loadAgeNanos,
        boolean trusted) {

    /** Returns the same candidate with a newer entry of the same lifetime. */
    Candidate withEntry(ReplicaEntry newer) {
        return new Candidate(newer, outstanding, outstandingWork, load, outstandingAtLoad, loadAgeNanos, trusted);
    }
}
