package io.banyantally.internal.authority;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against scopes that are spread unevenly over the VMs, and VMs of equal rank, which add watches of a lease. */
final class RendezvousRankingTest {

    private static final int VMS = 10;
    private static final int SCOPES = 1_000;

    @Test
    void everyScopeHasOneVmOfEachRankAndScopesSpreadOverVms() {
        int[] firstRankCounts = new int[VMS];
        for (int scope = 0; scope < SCOPES; scope++) {
            List<Integer> ranks = ranks(scope, VMS);
            assertEquals(
                    IntStream.range(0, VMS).boxed().toList(),
                    ranks.stream().sorted().toList());
            firstRankCounts[ranks.indexOf(0)]++;
        }
        for (int count : firstRankCounts) {
            assertTrue(
                    count > SCOPES / VMS / 2 && count < SCOPES / VMS * 2,
                    "scopes for which a VM ranks first: " + count);
        }
    }

    @Test
    void theLossOfAVmMovesOnlyItsOwnScopes() {
        for (int scope = 0; scope < SCOPES; scope++) {
            int before = ranks(scope, VMS).indexOf(0);
            if (before < VMS - 1) {
                assertEquals(before, ranks(scope, VMS - 1).indexOf(0));
            }
        }
    }

    private static List<Integer> ranks(int scope, int vms) {
        List<Integer> ranks = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            int self = vm;
            List<Peer> peers = IntStream.range(0, vms)
                    .filter(other -> other != self)
                    .mapToObj(other -> new Peer(id(other), new Incarnation(0), new AvailabilityZone("north")))
                    .toList();
            ranks.add(new RendezvousRanking(id(self), () -> peers).rank(new Scope("scope-" + scope)));
        }
        return ranks;
    }

    private static VmId id(int number) {
        return new VmId("vm-" + number);
    }
}
