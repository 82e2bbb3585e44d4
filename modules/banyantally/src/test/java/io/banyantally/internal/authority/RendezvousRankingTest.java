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

/** Guards the spread of scopes over VMs, on which the number of watches of each lease depends. */
final class RendezvousRankingTest {

    private static final int VMS = 10;
    private static final int SCOPES = 1_000;

    @Test
    void everyScopeHasOneVmOfEachRankAndScopesSpreadOverVms() {
        int[] first = new int[VMS];
        for (int scope = 0; scope < SCOPES; scope++) {
            List<Integer> ranks = ranks(scope, VMS);
            assertEquals(
                    IntStream.range(0, VMS).boxed().toList(),
                    ranks.stream().sorted().toList());
            first[ranks.indexOf(0)]++;
        }
        for (int count : first) {
            assertTrue(count > SCOPES / VMS / 2 && count < SCOPES / VMS * 2, "a VM is first for " + count);
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
