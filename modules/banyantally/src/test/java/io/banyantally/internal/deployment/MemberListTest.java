package io.banyantally.internal.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore.StoreChange;
import io.banyantally.platform.CoordinationStore.StoreChanges;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.CoordinationStore.StoreListing;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

final class MemberListTest {

    private static final VmId VM = new VmId("vm-1");
    private static final StoreItem VM_ENTRY = item(
            GatewayStoreKeys.member(VM),
            WireFormat.encode(new MemberEntry(VM, new AvailabilityZone("zone-1"), "10.0.0.1:80", "10.0.0.1:81")),
            3);
    private static final StoreItem FORMER_HOLDER = item(GatewayStoreKeys.DUTY_HOLDER, new byte[0], 5);
    private static final StoreItem HOLDER = item(GatewayStoreKeys.DUTY_HOLDER, new byte[0], 9);

    private final MemberList members = new MemberList();

    /** Guards against an election, or addresses without a VM, in the middle of a repeated batch. */
    @Test
    void batchIsVisibleOnlyAsAWhole() {
        members.listed(new StoreListing(List.of(VM_ENTRY, HOLDER), HOLDER.created()));
        List<StoreChange> batch = new ArrayList<>();
        batch.add(new StoreChange.Removed(VM_ENTRY.key()));
        batch.add(new StoreChange.Written(FORMER_HOLDER));
        IntStream.range(0, 20_000)
                .forEach(
                        _ -> batch.add(new StoreChange.Removed(new StoreKey(GatewayStoreKeys.MEMBER_PREFIX + "vm-2"))));
        batch.add(new StoreChange.Removed(HOLDER.key()));
        batch.add(new StoreChange.Written(HOLDER));
        batch.add(new StoreChange.Written(VM_ENTRY));

        Set<String> seen = statesSeenDuring(() -> members.changed(new StoreChanges(batch, HOLDER.created())));

        assertEquals(Set.of("holder 9, 1 VM"), seen);
    }

    private Set<String> statesSeenDuring(Runnable change) {
        AtomicBoolean ended = new AtomicBoolean();
        AtomicBoolean reading = new AtomicBoolean();
        CompletableFuture<Set<String>> reader = CompletableFuture.supplyAsync(() -> {
            Set<String> seen = new HashSet<>();
            while (!ended.get()) {
                Optional<StoreItem> holder = members.dutyHolder();
                seen.add("holder "
                        + holder.map(item -> item.created().toString()).orElse("none") + ", "
                        + members.members().size() + " VM");
                reading.set(true);
            }
            return seen;
        });
        while (!reading.get()) {
            Thread.onSpinWait();
        }
        change.run();
        ended.set(true);
        return reader.join();
    }

    private static StoreItem item(StoreKey key, byte[] value, long revision) {
        StoreRevision at = new StoreRevision(revision);
        return new StoreItem(key, new VersionedValue(value, at), at);
    }
}
