package io.banyantally.internal.configuration;

import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.Topic;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.ClientAccountId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreFaultPlan;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiConsumer;

/** Entry VMs in three zones around one key-value service, on one thread and a manual clock. */
final class TestSite {

    static final StoreFaultPlan DOWN = (operation, key, after) -> StoreFault.UNAVAILABLE;
    static final ClientAccountId ACCOUNT = new ClientAccountId("port-north");

    /** How often the VMs' tasks run; shorter than the intervals in production has no effect on the rules. */
    static final Duration TICK = Duration.ofMillis(200);

    final ManualClock clock = new ManualClock();
    final InMemoryKeyValueStore store = new InMemoryKeyValueStore(clock);
    final FakePeerHub hub = new FakePeerHub();
    final Map<VmId, TestVm> vms = new TreeMap<>();
    final KeyGenerator keys;
    /** How far the clock moves at each reading. */
    Duration clockStep = Duration.ZERO;

    BiConsumer<VmId, Topic> beforeRequest = (vm, topic) -> {};
    BiConsumer<VmId, Topic> afterRequest = (vm, topic) -> {};
    private long incarnations;
    private boolean passing;

    /** Starts VMs without adding them to the roster; {@code seed} determines the keys. */
    TestSite(int count, long seed) {
        keys = new KeyGenerator(new SeededSecureRandom(seed));
        for (int index = 0; index < count; index++) {
            start(index);
        }
    }

    /** Starts VMs, puts them into the roster by one write, and puts a client account in force. */
    static TestSite running(int count) throws Exception {
        return running(count, 1);
    }

    static TestSite running(int count, long seed) throws Exception {
        TestSite site = new TestSite(count, seed);
        site.tick();
        Set<VmId> all = Set.copyOf(site.vms.keySet());
        site.vm(0).part.store().changeRoster(base -> new Roster(all, all, 1));
        site.tick();
        site.vm(0).part.editor().change(site.vm(0).replica().revision(), ConfigurationChange.put(account(1)));
        site.tick();
        site.tick();
        return site;
    }

    static ClientAccountParameters account(int priority) {
        return new ClientAccountParameters(
                ACCOUNT, Set.of(new ModelName("manual")), Set.of(), Set.of(), priority, 1, 10, 1_000, 4);
    }

    TestVm start(int index) {
        Peer peer = new Peer(name(index), new Incarnation(++incarnations), new AvailabilityZone("zone-" + index % 3));
        TestVm vm = new TestVm(this, peer, incarnations * 1_000_000_007L);
        vms.put(peer.vm(), vm);
        return vm;
    }

    static VmId name(int index) {
        return new VmId("vm-" + index);
    }

    TestVm vm(int index) {
        return vms.get(name(index));
    }

    void kill(int index) {
        vms.remove(name(index)).kill();
        hub.remove(name(index));
    }

    List<TestVm> running() {
        return new ArrayList<>(vms.values());
    }

    /** Lets every VM's tasks run once, and the clock move. */
    void tick() {
        clock.advance(TICK);
        running().forEach(TestVm::step);
    }

    void tick(Duration duration) {
        for (long passed = 0; passed < duration.toNanos(); passed += TICK.toNanos()) {
            tick();
        }
    }

    /** What a VM's wait means for the others: their tasks go on. */
    void passTime() {
        if (passing) {
            clock.advance(TICK);
            return;
        }
        passing = true;
        try {
            tick();
        } finally {
            passing = false;
        }
    }

    /** Takes the key-value service down for all VMs, or brings it back. */
    void setPlatform(StoreFaultPlan plan) {
        running().forEach(vm -> vm.store.setPlan(plan));
    }

    IssuedKey give(int index) throws Exception {
        TestVm vm = vm(index);
        return vm.part.editor().issueKey(vm.replica().revision(), keys.generate(ACCOUNT));
    }

    ChangeOutcome withdraw(int index, IssuedKey key) throws Exception {
        TestVm vm = vm(index);
        return vm.part.editor().withdrawKey(vm.replica().revision(), key.id());
    }
}
