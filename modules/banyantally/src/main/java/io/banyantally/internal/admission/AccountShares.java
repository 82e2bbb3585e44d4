package io.banyantally.internal.admission;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.VmId;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Decides which part of an account's limits this VM may use. A VM lowers its share alone, and raises it only into room
 * that every VM of the roster has just confirmed to be free. A VM that is cut off from any other therefore never raises
 * its share, and keeps the one that the others count for it.
 */
final class AccountShares {
    /** A VM keeps this part of an even share even without demand, so that a first request is let in. */
    private static final double IDLE_PART = 0.25;

    /** Room that a VM may take in a round, divided by the VMs: others may take room twice before this VM hears of it. */
    private static final double RAISES_PER_ROUND = 2;

    /** Tokens a second below which an account counts as idle. */
    private static final double NO_DEMAND = 0.01;

    private final Map<VmId, Map<ClientAccountId, Claim>> peers = new ConcurrentHashMap<>();

    /** What a peer said last of an account. */
    record Claim(double share, double demand) {}

    void heard(VmId peer, ClientAccountId account, Claim claim) {
        peers.computeIfAbsent(peer, unknown -> new ConcurrentHashMap<>()).put(account, claim);
    }

    void keepOnly(Set<VmId> roster) {
        peers.keySet().retainAll(roster);
    }

    /**
     * Returns the next share.
     *
     * @param vms the size of the roster, this VM counted
     * @param complete whether every other VM of the roster answered in this round
     */
    double next(ClientAccountId account, double share, double demand, int vms, boolean complete) {
        double claimed = 0;
        double totalDemand = demand;
        int known = 0;
        for (Map<ClientAccountId, Claim> claims : peers.values()) {
            Claim claim = claims.get(account);
            if (claim != null) {
                known++;
                claimed += claim.share();
                totalDemand += claim.demand();
            }
        }
        // A VM that has not spoken of the account may use an even share of it at any moment.
        claimed += Math.max(0, vms - 1 - known) / (double) vms;
        double idle = IDLE_PART / vms;
        double wanted = totalDemand < NO_DEMAND ? 1.0 / vms : idle + (1 - IDLE_PART) * demand / totalDemand;
        if (share + claimed > 1) {
            return Math.max(idle, Math.min(share, wanted) - (share + claimed - 1) / vms);
        }
        if (share >= wanted) {
            return (share + wanted) / 2;
        }
        if (!complete) {
            return share;
        }
        double room = (1 - share - claimed) / (RAISES_PER_ROUND * vms);
        return share + Math.min(wanted - share, room);
    }
}
