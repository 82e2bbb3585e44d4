package io.banyantally.internal.crash;

import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.UpstreamId;
import io.banyantally.model.VmId;
import io.banyantally.platform.StoreEra;
import io.banyantally.platform.StoreException;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.FakeCoordinationStore;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.StoreFeed;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * Plays requests of many VMs at engines, of which some have a part in their prompt that crashes the engine. Every VM
 * knows of the crashes what it observes itself and what it reads from the store one step later.
 */
final class CrashSimulation {

    private static final Duration STEP = Duration.ofMillis(50);
    private static final int STEPS_BETWEEN_CLEARANCES = 5;
    private static final int SESSIONS = 60;
    private static final String CRASHING_PART = "crashing";

    /** An engine serves this many sound prompts at a time. */
    private static final int PROMPTS_AT_ENGINE = 6;

    private static final Duration RESTART_TIME = Duration.ofSeconds(3);

    private final SplittableRandom random;
    private final ManualClock clock = new ManualClock();
    private final FakeCoordinationStore store = new FakeCoordinationStore(clock);
    private final List<Vm> vms = new ArrayList<>();
    private final List<ReplicaEntry> engines = new ArrayList<>();
    private final Map<Integer, Long> downUntil = new HashMap<>();
    private final Set<String> crashedIds = new HashSet<>();
    private int nextEngine;
    private int nextRequest;

    private int crashes;
    private long fifthCrashAt;
    private int sentAfterLimit;
    private int soundServed;
    private int soundRefused;
    private int soundRefusedAfterLimit;

    CrashSimulation(long seed, int vmCount, int engineCount) throws StoreException {
        random = new SplittableRandom(seed);
        for (int vm = 0; vm < vmCount; vm++) {
            vms.add(new Vm("vm-" + vm));
        }
        for (int engine = 0; engine < engineCount; engine++) {
            engines.add(newEngine());
        }
    }

    /** Plays both kinds of request at their rates per second; {@code limit} is the time allowed after the fifth crash. */
    Result run(double crashingRate, Duration duration, Duration limit) throws StoreException {
        long end = clock.nanoTime() + duration.toNanos();
        for (int step = 0; clock.nanoTime() < end; step++) {
            playStep(random.nextDouble() < crashingRate * STEP.toMillis() / 1000.0, limit);
            if (step % STEPS_BETWEEN_CLEARANCES == 0) {
                vms.forEach(vm -> vm.reporter.publishClearances());
            }
        }
        return new Result(crashes, sentAfterLimit, soundServed, soundRefused, soundRefusedAfterLimit);
    }

    /** Ends several engines at the same moment, for a cause other than a prompt. */
    void crashEngines(int count) throws StoreException {
        for (int engine = 0; engine < count; engine++) {
            crash(engine, atEngine());
        }
        advance();
    }

    /** Replaces a VM's process by one that has only what is in the store. */
    void restartVm(int index) throws StoreException {
        vms.set(index, new Vm("vm-" + index));
    }

    private void playStep(boolean crashing, Duration limit) throws StoreException {
        for (int engine = 0; engine < engines.size(); engine++) {
            if (downUntil.getOrDefault(engine, 0L) > clock.nanoTime()) {
                continue;
            }
            List<Sent> sent = atEngine();
            boolean crashed = false;
            if (crashing) {
                crashing = false;
                Vm vm = vms.get(random.nextInt(vms.size()));
                PromptMetadata prompt = prompt("common", CRASHING_PART);
                if (!vm.ledger.isCrashing(Deployments.ENGINES, prompt)) {
                    sent.add(new Sent(vm, prompt));
                    crash(engine, sent);
                    crashed = true;
                    if (fifthCrashAt > 0 && clock.since(fifthCrashAt).compareTo(limit) > 0) {
                        sentAfterLimit++;
                    }
                    if (++crashes == 5) {
                        fifthCrashAt = clock.nanoTime();
                    }
                }
            }
            if (!crashed) {
                sent.forEach(request -> request.vm().ledger.recordServed(Deployments.ENGINES, request.prompt()));
                soundServed += sent.size();
            }
        }
        advance();
    }

    private List<Sent> atEngine() {
        List<Sent> sent = new ArrayList<>();
        for (int request = 0; request < PROMPTS_AT_ENGINE; request++) {
            Vm vm = vms.get(random.nextInt(vms.size()));
            PromptMetadata prompt = prompt("common", "session-" + random.nextInt(SESSIONS));
            if (vm.ledger.isCrashing(Deployments.ENGINES, prompt)) {
                soundRefused++;
                soundRefusedAfterLimit += fifthCrashAt > 0 ? 1 : 0;
            } else {
                sent.add(new Sent(vm, prompt));
            }
        }
        return sent;
    }

    private void crash(int engine, List<Sent> sent) {
        ReplicaEntry entry = engines.get(engine);
        crashedIds.add(entry.id().value());
        sent.forEach(request -> request.vm().reporter.recordBrokenOff(entry, request.prompt()));
        engines.set(engine, newEngine());
        downUntil.put(engine, clock.nanoTime() + RESTART_TIME.toNanos());
    }

    private void advance() throws StoreException {
        for (Vm vm : vms) {
            vm.runTasks();
        }
        for (Vm vm : vms) {
            vm.feed.deliver();
        }
        clock.advance(STEP);
    }

    private PromptMetadata prompt(String first, String second) {
        return new PromptMetadata(
                300,
                10,
                List.of(
                        new PromptPart(first, 100),
                        new PromptPart(second, 100),
                        new PromptPart("request-" + nextRequest++, 100)));
    }

    private ReplicaEntry newEngine() {
        return new ReplicaEntry(
                new UpstreamId("engine-" + nextEngine++),
                Deployments.ENGINES,
                InetSocketAddress.createUnresolved("engine", 1),
                new AvailabilityZone("zone-a"),
                PROMPTS_AT_ENGINE,
                false,
                EngineStage.NONE,
                false,
                OptionalLong.empty(),
                OptionalLong.empty(),
                new SoftwareVersion("v1"));
    }

    /** What became of the requests. */
    record Result(int crashes, int sentAfterLimit, int soundServed, int soundRefused, int soundRefusedAfterLimit) {}

    private record Sent(Vm vm, PromptMetadata prompt) {}

    private final class Vm {
        private final CrashLedger ledger = new CrashLedger(clock);
        private final Queue<Runnable> tasks = new ArrayDeque<>();
        private final CrashReporter reporter;
        private final StoreFeed feed = new StoreFeed(store, CrashStoreKeys.PREFIX, ledger);

        Vm(String name) throws StoreException {
            reporter = new CrashReporter(
                    store,
                    () -> StoreEra.UNKNOWN,
                    ledger,
                    upstream -> true,
                    upstream -> crashedIds.contains(upstream.id().value()),
                    new VmId(name),
                    tasks::add,
                    duration -> {},
                    clock);
            feed.deliver();
        }

        void runTasks() {
            for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                task.run();
            }
        }
    }
}
