package io.banyantally.standins.measure;

import io.banyantally.internal.membership.DirectorySynchronizer;
import io.banyantally.internal.membership.EntryVm;
import io.banyantally.internal.membership.PeerChoice;
import io.banyantally.internal.orders.UpstreamChangeListener;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ServiceName;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.platform.VmState;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/** Measures the messages, bytes and heap of membership per VM by number of VMs, all in one process. */
public final class MembershipMeasurement {

    private static final int[] SIZES = {6, 12, 24, 32, 50, 100, 200, 400};
    private static final int[] COMPUTED_SIZES = {6, 32, 33, 100, 400, 1_000, 3_300};
    private static final int[] ENTRIES = {1_000, 5_000, 13_300};
    private static final List<String> TOPICS = List.of("membership.heartbeat", "membership.directory", "routing.hold");
    private static final Duration WARM_UP_DURATION = Duration.ofSeconds(4);
    private static final Duration MEASURED_DURATION = Duration.ofSeconds(8);
    private static final Duration HOLD_LIMIT = Duration.ofSeconds(15);
    private static final int LEAVING_REPETITIONS = 5;
    private static final int UPSTREAMS = 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private volatile VmState state = VmState.LIVE;

    private MembershipMeasurement() {}

    /** Prints all tables. */
    public static void main(String... arguments) throws InterruptedException {
        System.out.println("connections by PeerChoice: vms zones opened-min opened-mean opened-max accepted-max");
        for (int size : COMPUTED_SIZES) {
            printConnections(size);
        }
        System.out.println("heap of one VM's directory: entries bytes-per-entry");
        for (int entries : ENTRIES) {
            printDirectoryHeap(entries);
        }
        System.out.println("per VM: vms zones topic messages/s bytes/s max-bytes/s");
        for (int size : SIZES) {
            new MembershipMeasurement().measure(size);
        }
    }

    private static int zonesOf(int vms) {
        return vms < 100 ? 3 : Math.min(20, Math.max(3, vms / 33));
    }

    private static List<EntryVm> fleet(int vms) {
        List<EntryVm> fleet = new ArrayList<>();
        for (int number = 0; number < vms; number++) {
            fleet.add(new EntryVm(new VmId("entry-" + number), new AvailabilityZone("zone-" + number % zonesOf(vms))));
        }
        return fleet;
    }

    private static void printConnections(int vms) {
        List<EntryVm> fleet = fleet(vms);
        Map<VmId, Integer> accepted = new HashMap<>();
        int minimumOpened = Integer.MAX_VALUE;
        int maximumOpened = 0;
        long sum = 0;
        for (EntryVm vm : fleet) {
            Set<VmId> chosen = PeerChoice.choose(vm, fleet);
            chosen.forEach(peer -> accepted.merge(peer, 1, Integer::sum));
            minimumOpened = Math.min(minimumOpened, chosen.size());
            maximumOpened = Math.max(maximumOpened, chosen.size());
            sum += chosen.size();
        }
        int maximumAccepted =
                accepted.values().stream().mapToInt(count -> count).max().orElse(0);
        System.out.printf(
                "%d %d %d %.1f %d %d%n",
                vms, zonesOf(vms), minimumOpened, (double) sum / vms, maximumOpened, maximumAccepted);
    }

    private static long usedHeap() throws InterruptedException {
        long used = Long.MAX_VALUE;
        for (int round = 0; round < 4; round++) {
            System.gc();
            Thread.sleep(100);
            Runtime runtime = Runtime.getRuntime();
            used = Math.min(used, runtime.totalMemory() - runtime.freeMemory());
        }
        return used;
    }

    private static DirectoryEntry entry(String id, VmKind kind, String zone, VmState state) {
        return new DirectoryEntry(
                id,
                kind,
                new AvailabilityZone(zone),
                kind == VmKind.ENTRY ? Optional.empty() : Optional.of(new ServiceName("chat")),
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 1),
                state,
                false);
    }

    /** Measures a VM that polls the platform itself, so that its change log holds the objects of its own poll. */
    private static void printDirectoryHeap(int entries) throws InterruptedException {
        FrameCountingNetwork countingNetwork = new FrameCountingNetwork();
        Peer self = new Peer(new VmId("entry-0"), Incarnation.draw(), new AvailabilityZone("zone-0"));
        long before = usedHeap();
        AtomicInteger reads = new AtomicInteger();
        DirectorySynchronizer directory = new DirectorySynchronizer(
                self,
                countingNetwork.join(self),
                () -> {
                    reads.incrementAndGet();
                    List<DirectoryEntry> list = new ArrayList<>();
                    for (int number = 0; number < entries; number++) {
                        list.add(entry("engine-" + number, VmKind.ENGINE, "zone-" + number % 20, VmState.LIVE));
                    }
                    return list;
                },
                MonotonicClock.SYSTEM,
                RandomGenerator.getDefault());
        directory.start();
        while (reads.get() < 3) {
            Thread.sleep(50);
        }
        directory.stop();
        Thread.sleep(200);
        long after = usedHeap();
        System.out.printf("%d %d%n", directory.list().size(), (after - before) / entries);
    }

    private List<DirectoryEntry> list(List<EntryVm> fleet) {
        List<DirectoryEntry> entries = new ArrayList<>();
        fleet.forEach(
                vm -> entries.add(entry(vm.vm().value(), VmKind.ENTRY, vm.zone().value(), VmState.LIVE)));
        entries.add(entry("engine-0", VmKind.ENGINE, "zone-0", state));
        for (int number = 1; number < UPSTREAMS; number++) {
            entries.add(entry("engine-" + number, VmKind.ENGINE, "zone-0", VmState.LIVE));
        }
        return entries;
    }

    private void measure(int size) throws InterruptedException {
        List<EntryVm> fleet = fleet(size);
        FrameCountingNetwork countingNetwork = new FrameCountingNetwork();
        long before = usedHeap();
        List<MeasuredVm> vms = new ArrayList<>();
        AtomicInteger calls = new AtomicInteger();
        for (EntryVm vm : fleet) {
            vms.add(new MeasuredVm(
                    new Peer(vm.vm(), Incarnation.draw(), vm.zone()),
                    countingNetwork,
                    () -> {
                        calls.incrementAndGet();
                        return list(fleet);
                    },
                    fleet));
        }
        vms.forEach(MeasuredVm::start);
        Thread.sleep(WARM_UP_DURATION);
        vms.forEach(vm -> vm.network.reset());
        calls.set(0);
        long start = System.nanoTime();
        Thread.sleep(MEASURED_DURATION);
        double seconds = (System.nanoTime() - start) / NANOS_PER_SECOND;
        print(vms, size, "", seconds);
        System.out.printf("%d %d platform-calls/s %.1f%n", size, zonesOf(size), calls.get() / seconds);
        long connections =
                vms.stream().mapToLong(vm -> vm.network.connections()).sum();
        System.out.printf("%d %d heap-bytes-per-peer %d%n", size, zonesOf(size), (usedHeap() - before) / connections);
        measureHoldConfirmation(vms, size);
        measureLeavingPropagation(vms, size);
        vms.forEach(MeasuredVm::stop);
        Thread.sleep(500);
    }

    private static void print(List<MeasuredVm> vms, int size, String note, double seconds) {
        for (String topic : TOPICS) {
            double messages = 0;
            double bytes = 0;
            double maximumBytes = 0;
            for (MeasuredVm vm : vms) {
                messages += vm.network.messages(topic) / seconds;
                bytes += vm.network.bytes(topic) / seconds;
                maximumBytes = Math.max(maximumBytes, vm.network.bytes(topic) / seconds);
            }
            System.out.printf(
                    "%d %d %s%s %.1f %.0f %.0f%n",
                    size, zonesOf(size), topic, note, messages / vms.size(), bytes / vms.size(), maximumBytes);
        }
    }

    private void measureHoldConfirmation(List<MeasuredVm> vms, int size) throws InterruptedException {
        vms.forEach(vm -> vm.network.reset());
        // Scope owners are among the VMs that read the directory from the platform, which have the most connections.
        MeasuredVm owner = vms.stream()
                .max(Comparator.comparingInt(vm -> vm.network.connections()))
                .orElseThrow();
        UpstreamChangeListener listener = owner.createOwnerListener();
        UpstreamId upstream = new UpstreamId("engine-1");
        long requestedAt = System.nanoTime();
        boolean confirmed = listener.prepareGiveBack(upstream);
        while (!confirmed && MonotonicClock.SYSTEM.since(requestedAt).compareTo(HOLD_LIMIT) < 0) {
            Thread.sleep(10);
            confirmed = listener.prepareGiveBack(upstream);
        }
        System.out.printf(
                "%d %d hold-confirmed-by-all %b after-ms %d owner-bytes %d%n",
                size,
                zonesOf(size),
                confirmed,
                MonotonicClock.SYSTEM.since(requestedAt).toMillis(),
                owner.network.bytes("routing.hold"));
        vms.forEach(vm -> vm.network.reset());
        long start = System.nanoTime();
        Thread.sleep(MEASURED_DURATION);
        print(vms, size, "(one held)", (System.nanoTime() - start) / NANOS_PER_SECOND);
        listener.changeFinished(upstream);
    }

    private void measureLeavingPropagation(List<MeasuredVm> vms, int size) throws InterruptedException {
        List<Long> millis = new ArrayList<>();
        for (int repetition = 0; repetition < LEAVING_REPETITIONS; repetition++) {
            state = VmState.LEAVING;
            long start = System.nanoTime();
            while (!vms.stream().allMatch(MeasuredVm::seesLeavingEngine)) {
                Thread.sleep(5);
            }
            millis.add(MonotonicClock.SYSTEM.since(start).toMillis());
            state = VmState.LIVE;
            while (vms.stream().anyMatch(MeasuredVm::seesLeavingEngine)) {
                Thread.sleep(5);
            }
        }
        System.out.printf("%d %d notice-to-last-vm-ms %s%n", size, zonesOf(size), millis);
    }
}
