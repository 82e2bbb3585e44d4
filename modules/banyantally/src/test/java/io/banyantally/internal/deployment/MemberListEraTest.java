package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** The list of VMs when the store comes back from an older copy. */
final class MemberListEraTest {

    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final MemberList members = new MemberList(clock);
    private final StoreFeed feed = new StoreFeed(store, GatewayStoreKeys.LIVE_PREFIX, members);
    private final FakeCoordinationStore.Copy empty = store.copy();
    private final MemberPresence first = presence("vm-1");
    private final MemberPresence second = presence("vm-2");

    @BeforeEach
    void publishBoth() throws StoreException {
        first.refresh();
        second.refresh();
        feed.deliver();
    }

    /** Guards against callers that get no address since the copy has no entry of a live VM. */
    @Test
    void entriesThatTheCopyLacksStayUntilTheyAreWrittenAgain() throws StoreException {
        store.returnOlder(empty);
        feed.listAgain();
        assertEquals(List.of("vm-1", "vm-2"), listed());

        first.refresh();
        second.refresh();
        feed.deliver();
        clock.advance(KnownMembers.KEEP_TIME.minusMillis(1));
        assertEquals(List.of("vm-1", "vm-2"), listed());
    }

    /** Guards against addresses of a VM that has ended while the store was away. */
    @Test
    void entryThatIsNotWrittenAgainIsDropped() throws StoreException {
        store.returnOlder(empty);
        feed.listAgain();
        first.refresh();
        feed.deliver();

        clock.advance(KnownMembers.KEEP_TIME);

        assertEquals(List.of("vm-1"), listed());
    }

    /** Guards against a gap in the addresses since leases of the copy end before the VMs have heard of its return. */
    @Test
    void entriesWhoseLeasesEndShortlyAfterTheReturnStay() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        store.returnOlder(copy);
        feed.listAgain();
        clock.advance(KnownMembers.KEEP_TIME.minusMillis(1));
        store.lapseAllLeases();
        feed.deliver();

        assertEquals(List.of("vm-1", "vm-2"), listed());
    }

    /** Guards against addresses of a VM that shuts down, as the store came back with its entry. */
    @Test
    void entryThatOnlyTheCopyHadIsDroppedAtOnceWhenItIsWithdrawnAgain() throws StoreException {
        FakeCoordinationStore.Copy copy = store.copy();
        second.withdraw();
        feed.deliver();
        store.returnOlder(copy);
        feed.listAgain();

        store.delete(GatewayStoreKeys.member(new VmId("vm-2")).path());
        feed.deliver();

        assertEquals(List.of("vm-1"), listed());
    }

    /** Guards against addresses of VMs that have shut down, without a return of the store. */
    @Test
    void withdrawnEntryIsDroppedAtOnceInTheSameEra() throws StoreException {
        second.withdraw();
        feed.deliver();

        assertEquals(List.of("vm-1"), listed());
        clock.advance(Duration.ofMillis(1));
        feed.listAgain();
        assertEquals(List.of("vm-1"), listed());
    }

    private List<String> listed() {
        return members.members().stream().map(member -> member.vm().value()).toList();
    }

    private MemberPresence presence(String name) {
        EraCheckedStore checked = new EraCheckedStore(store, clock);
        MemberEntry entry = new MemberEntry(new VmId(name), new AvailabilityZone("zone-a"), name + ":1", name + ":2");
        return new MemberPresence(checked, () -> checked.era().orElse(StoreEra.UNKNOWN), entry, new StoreHealth(clock));
    }
}
