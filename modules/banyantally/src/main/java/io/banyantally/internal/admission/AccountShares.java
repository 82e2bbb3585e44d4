package io.banyantally.internal.admission;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Computes the share of each client account's limits that this VM may use. A VM lowers its share on its own, but raises
 * it only by capacity that every VM of the roster has confirmed as unused in the same round. A VM that cannot reach one
 * of the others therefore never raises its share above the one that the others count for it.
 */
final class AccountShares {
    /** Fraction of an even share that a VM keeps without demand, so that a first request is admitted. */
    private static final double IDLE_SHARE_FRACTION = 0.25;

    /**
     * Limits a VM's raise to 1/(2 * VMs) of the unused share, as a peer may raise twice before this VM learns of it.
     */
    private static final double RAISES_BETWEEN_REPORTS = 2;

    /** Demand in tokens per second below which an account counts as idle. */
    private static final double IDLE_DEMAND_TOKENS_PER_SECOND = 0.01;

    private final Map<VmId, Map<ClientAccountId, Claim>> claimsByPeer = new ConcurrentHashMap<>();

    /** The share and demand (tokens per second) that a peer last reported for an account. */
    record Claim(double share, double demand) {}

    void recordClaim(VmId peer, ClientAccountId account, Claim claim) {
        claimsByPeer.computeIfAbsent(peer, unknown -> new ConcurrentHashMap<>()).put(account, claim);
    }

    void retainPeers(Set<VmId> roster) {
        claimsByPeer.keySet().retainAll(roster);
    }

    /**
     * Returns the share for the next round, from 0 to 1.
     *
     * @param demand this VM's demand for the account in tokens per second
     * @param rosterSize the number of VMs in the roster, including this one
     * @param allPeersAnswered whether every other VM of the roster answered in this round
     */
    double nextShare(ClientAccountId account, double share, double demand, int rosterSize, boolean allPeersAnswered) {
        double claimedShare = 0;
        double totalDemand = demand;
        int reportingPeers = 0;
        for (Map<ClientAccountId, Claim> claims : claimsByPeer.values()) {
            Claim claim = claims.get(account);
            if (claim != null) {
                reportingPeers++;
                claimedShare += claim.share();
                totalDemand += claim.demand();
            }
        }
        // A VM that has not reported the account may start to use an even share of it at any time.
        claimedShare += Math.max(0, rosterSize - 1 - reportingPeers) / (double) rosterSize;
        double minimumShare = IDLE_SHARE_FRACTION / rosterSize;
        double targetShare = totalDemand < IDLE_DEMAND_TOKENS_PER_SECOND
                ? 1.0 / rosterSize
                : minimumShare + (1 - IDLE_SHARE_FRACTION) * demand / totalDemand;
        if (share + claimedShare > 1) {
            return Math.max(minimumShare, Math.min(share, targetShare) - (share + claimedShare - 1) / rosterSize);
        }
        if (share >= targetShare) {
            return (share + targetShare) / 2;
        }
        if (!allPeersAnswered) {
            return share;
        }
        double increase = (1 - share - claimedShare) / (RAISES_BETWEEN_REPORTS * rosterSize);
        return share + Math.min(targetShare - share, increase);
    }
}
