package io.banyantally.internal.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.authority.Scope;
import io.banyantally.internal.peer.Peer;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a large fleet in which many VMs watch the lease of each scope. */
final class ReaderRankingTest {

    private static long candidates(int vms, int zones) {
        List<Peer> fleet = new ArrayList<>();
        for (int number = 0; number < vms; number++) {
            fleet.add(new Peer(
                    new VmId("vm-" + number), new Incarnation(number), new AvailabilityZone("z" + number % zones)));
        }
        return fleet.stream()
                .filter(self -> {
                    List<Peer> others =
                            fleet.stream().filter(peer -> !peer.equals(self)).toList();
                    return new ReaderRanking(self, () -> others, () -> vms).rank(new Scope("chat@z0")) < 3;
                })
                .count();
    }

    @Test
    void threeVmsAreCandidatesWhateverTheSize() {
        assertEquals(3, candidates(6, 3));
        assertEquals(3, candidates(100, 5));
    }
}
