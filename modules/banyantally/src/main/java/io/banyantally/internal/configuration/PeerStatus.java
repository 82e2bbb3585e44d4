package io.banyantally.internal.configuration;

import io.banyantally.model.Incarnation;
import io.banyantally.model.Revision;

/**
 * What a peer answered last.
 *
 * @param requestSentAt this VM's clock before the request was sent, in ns
 * @param voter whether the peer counts in a majority
 * @param hasRecentPlatformProof whether the peer has a recent proof from the platform
 */
record PeerStatus(
        Incarnation incarnation,
        long requestSentAt,
        Revision revision,
        boolean voter,
        boolean hasRecentPlatformProof) {}
