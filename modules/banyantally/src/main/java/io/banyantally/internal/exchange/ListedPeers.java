package io.banyantally.internal.exchange;

import io.banyantally.internal.adapter.WireFormat;
import io.banyantally.internal.deployment.GatewayStoreKeys;
import io.banyantally.internal.deployment.MemberList;
import io.banyantally.internal.duty.WindowCounts;
import io.banyantally.internal.logging.EventLog;
import io.banyantally.internal.peer.TcpPeerNetwork;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.model.VmId;
import io.banyantally.platform.CoordinationStore;
import io.banyantally.platform.CoordinationStore.StoreItem;
import io.banyantally.platform.StoreException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The other VMs that the store lists, to which this VM connects. */
public final class ListedPeers implements PeerSource {

    private static final EventLog LOG = EventLog.of(ListedPeers.class);

    private final VmId self;
    private final MemberList members;
    private final CoordinationStore store;
    private final TcpPeerNetwork peers;
    private Optional<Long> counting = Optional.empty();

    /** Creates the peers of a VM. */
    public ListedPeers(VmId self, MemberList members, CoordinationStore store, TcpPeerNetwork peers) {
        this.self = self;
        this.members = members;
        this.store = store;
        this.peers = peers;
    }

    /** The entries of live VMs may have ended while the store was away, so VMs that have counted requests count too. */
    @Override
    public OptionalLong count() {
        if (!members.isListed()) {
            return OptionalLong.empty();
        }
        long others = members.members().stream()
                .filter(member -> !member.vm().equals(self))
                .count();
        return others > 0 ? OptionalLong.of(others) : countUsage();
    }

    private synchronized OptionalLong countUsage() {
        if (counting.isEmpty()) {
            try {
                counting = Optional.of(store.list(GatewayStoreKeys.USAGE_PREFIX).items().stream()
                        .filter(item -> GatewayStoreKeys.isUsageCounts(item.key()) && hasRequests(item))
                        .map(item -> GatewayStoreKeys.vmOfUsageCounts(item.key()))
                        .filter(vm -> !vm.equals(self.value()))
                        .distinct()
                        .count());
            } catch (StoreException unavailable) {
                LOG.info("peers_not_counted", EventField.of("reason", unavailable.getMessage()));
                return OptionalLong.empty();
            }
        }
        return OptionalLong.of(counting.get());
    }

    private static boolean hasRequests(StoreItem item) {
        try {
            return !WireFormat.decode(item.value(), WindowCounts.class)
                    .byWindow()
                    .isEmpty();
        } catch (IOException unreadable) {
            LOG.error("usage_unreadable", unreadable, EventField.of("key", item.key()));
            return false;
        }
    }

    @Override
    public void connect() {
        Map<VmId, InetSocketAddress> known = new HashMap<>();
        members.members().forEach(member -> known.put(member.vm(), address(member.peers())));
        peers.setKnownPeers(known);
    }

    private static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }
}
