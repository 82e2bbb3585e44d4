package io.banyantally.internal.orders;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.internal.authority.AuthorityEnvironment;
import io.banyantally.internal.authority.AuthoritySettings;
import io.banyantally.internal.authority.ProcessIdentity;
import io.banyantally.internal.authority.RendezvousRanking;
import io.banyantally.internal.authority.ScopeOwner;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import io.banyantally.testing.FaultyKeyValueStore;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.util.Optional;

/** One process of a simulated VM, with its own faulty connections to the key-value service and to the engines. */
final class SimulatedVm {

    final VmId id;
    final Invariants invariants;
    final Timeline timeline;
    final ScopeOwner owner;
    private final SimulatedSite site;
    private final Simulation simulation;
    private boolean killed;
    private boolean recordRead;
    private long pausedUntil;
    private long platformCutUntil;
    private long enginesCutUntil;
    private Optional<StoreFault> nextFault = Optional.empty();
    private boolean delayNextWrite;
    private boolean releasing;

    SimulatedVm(SimulatedSite site, VmId id) {
        this.site = site;
        this.simulation = site.simulation;
        this.id = id;
        Incarnation incarnation = new Incarnation(simulation.random.nextLong());
        timeline = new Timeline(id, incarnation, 2_000, event -> {});
        invariants = new Invariants(new MetricRegistry(), timeline);
        Sleeper sleeper = this::sleep;
        OrderEnvironment orders =
                new OrderEnvironment(OrderSettings.DEFAULT, simulation.clock, sleeper, timeline, invariants);
        AuthorityEnvironment environment = new AuthorityEnvironment(
                AuthoritySettings.DEFAULT,
                simulation.clock,
                sleeper,
                timeline,
                body -> simulation.newThread(this, body),
                simulation.random.split());
        owner = new ScopeOwner(
                SimulatedSite.SCOPE,
                site.task(this, orders),
                store(),
                new RendezvousRanking(id, () -> site.peersOf(this)),
                new ProcessIdentity(id, incarnation),
                environment);
    }

    void throwIfKilled() {
        if (killed) {
            throw new Simulation.ProcessKilled();
        }
    }

    long pausedUntil() {
        return pausedUntil;
    }

    boolean isKilled() {
        return killed;
    }

    void kill() {
        killed = true;
        pausedUntil = 0;
    }

    void pause(Duration duration) {
        pausedUntil = simulation.now() + duration.toNanos();
    }

    void cutPlatform(Duration duration) {
        platformCutUntil = simulation.now() + duration.toNanos();
    }

    void cutEngines(Duration duration) {
        enginesCutUntil = simulation.now() + duration.toNanos();
    }

    boolean enginesAreCut() {
        return simulation.now() < enginesCutUntil;
    }

    void failNextCall(StoreFault fault) {
        nextFault = Optional.of(fault);
    }

    void delayNextWrite() {
        delayNextWrite = true;
    }

    boolean consumeLostAnswer() {
        boolean lost = nextFault.equals(Optional.of(StoreFault.LOST_ANSWER));
        nextFault = Optional.empty();
        return lost;
    }

    void release() {
        releasing = true;
        owner.requestRelease();
    }

    /** A step at which a fault may be injected; takes {@code latency} of simulated time. */
    void reach(Step step, Duration latency) {
        site.injectFault(this, step);
        simulation.yieldFor(latency);
    }

    private void sleep(Duration duration) throws InterruptedException {
        reach(duration.compareTo(Duration.ofSeconds(2)) > 0 ? Step.WAIT : Step.OTHER, duration);
        if (Thread.interrupted()) {
            throw new InterruptedException("interrupted in the simulation");
        }
    }

    private KeyValueStore store() {
        KeyValueStore direct = (KeyValueStore) Proxy.newProxyInstance(
                KeyValueStore.class.getClassLoader(),
                new Class<?>[] {KeyValueStore.class},
                (proxy, method, arguments) -> call(method, arguments));
        FaultyKeyValueStore faulty = new FaultyKeyValueStore(direct);
        faulty.setPlan(this::decide);
        return faulty;
    }

    private StoreFault decide(StoreOperation operation, Optional<StoreKey> key, boolean after) {
        Step step = after ? Step.OTHER : step(operation, key);
        boolean slow = site.platformIsSlow() && simulation.random.nextInt(3) == 0;
        reach(step, simulation.randomDuration(Duration.ofMillis(slow ? 500 : 10)));
        if (simulation.now() < platformCutUntil || site.platformIsDown()) {
            simulation.yieldFor(simulation.randomDuration(Duration.ofMillis(500)));
            return simulation.random.nextBoolean() ? StoreFault.UNAVAILABLE : StoreFault.LOST_REQUEST;
        }
        StoreFault fault = nextFault.orElseGet(() -> slow ? slowOutcome() : StoreFault.NONE);
        if (!after) {
            nextFault = Optional.empty();
        }
        return fault;
    }

    private StoreFault slowOutcome() {
        return simulation.random.nextInt(3) == 0 ? StoreFault.LOST_REQUEST : StoreFault.LOST_ANSWER;
    }

    private Step step(StoreOperation operation, Optional<StoreKey> key) {
        boolean record = key.isPresent() && key.get().path().startsWith("scope/");
        return switch (operation) {
            case GRANT_LEASE -> Step.GRANT;
            case RENEW_LEASE -> Step.RENEW;
            case REVOKE_LEASE -> Step.RELEASE;
            case GET -> {
                recordRead |= record;
                yield record ? Step.READ_RECORD : Step.OTHER;
            }
            case COMPARE_AND_SWAP -> record ? recordWrite() : Step.CREATE_LEASE_KEY;
            case AWAIT_CHANGE -> Step.OTHER;
        };
    }

    private Step recordWrite() {
        boolean takeover = recordRead;
        recordRead = false;
        return releasing ? Step.RELEASE : takeover ? Step.WRITE_RECORD : Step.INTENT;
    }

    private Object call(Method method, Object[] arguments) throws Throwable {
        if (method.getName().equals("awaitChange")) {
            return awaitChange((StoreKey) arguments[0], (StoreRevision) arguments[1], (Duration) arguments[2]);
        }
        if (delayNextWrite && method.getName().equals("compareAndSwap")) {
            delayNextWrite = false;
            simulation.schedule(simulation.randomDuration(Duration.ofSeconds(12)), () -> invokeLate(method, arguments));
            throw new OutcomeUnknownException("no answer to the write, which takes effect later");
        }
        try {
            return method.invoke(site.store, arguments);
        } catch (InvocationTargetException failure) {
            throw failure.getCause();
        }
    }

    private void invokeLate(Method method, Object[] arguments) {
        try {
            method.invoke(site.store, arguments);
        } catch (ReflectiveOperationException refused) {
            // The service refused the late write.
        }
    }

    private ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws Exception {
        long start = simulation.now();
        while (true) {
            Optional<VersionedValue> present = site.store.get(key);
            boolean changed = !present.map(VersionedValue::revision)
                    .orElse(StoreRevision.ABSENT)
                    .equals(known);
            if (changed || simulation.clock.since(start).compareTo(timeout) >= 0) {
                return new ChangeNotice(changed, present);
            }
            simulation.yieldFor(Duration.ofMillis(500));
        }
    }
}
