package io.banyantally.internal.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.model.ClientAccountId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FakePeerHub;
import io.banyantally.testing.ManualClock;
import io.banyantally.testing.ProcessKilledError;
import io.banyantally.testing.StoreFault;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamException;
import io.banyantally.upstream.UpstreamRefusedException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Three VMs, the key-value service and a service that records executions, all run by one thread. */
final class CallSimulation {
    static final CallIdentity IDENTITY =
            new CallIdentity(new ClientAccountId("lumenfar"), new ServiceName("harbour-api"), "order-17");

    final ManualClock platformClock = new ManualClock();
    final InMemoryKeyValueStore shared = new InMemoryKeyValueStore(platformClock);
    final FakePeerHub hub = new FakePeerHub();
    final List<CallVm> vms = new ArrayList<>();
    final List<ReturnedOutcome> returnedOutcomes = new ArrayList<>();
    final Map<CallIdentity, List<String>> executions = new HashMap<>();
    final Map<String, Long> startedAt = new HashMap<>();
    CallStepListener listener = (vm, step, after) -> StoreFault.NONE;
    CallFault sendFault = CallFault.NONE;
    private int requests;

    CallSimulation() {
        for (int i = 0; i < 3; i++) {
            vms.add(new CallVm(this, new VmId("vm-" + i), i + 1));
        }
    }

    /** The outcome that was returned for a request. */
    record ReturnedOutcome(CallIdentity identity, String request, String hash, CallOutcome outcome) {}

    Optional<CallOutcome> call(CallVm vm, CallIdentity identity, String hash) {
        if (!vm.alive) {
            return Optional.empty();
        }
        String request = "request-" + requests++;
        startedAt.put(request, platformClock.nanoTime());
        vm.hasSent = false;
        try {
            CallOutcome outcome = vm.ledger.run(identity, hash, () -> send(vm, identity, request));
            if (!vm.alive) {
                return Optional.empty();
            }
            returnedOutcomes.add(new ReturnedOutcome(identity, request, hash, outcome));
            return Optional.of(outcome);
        } catch (ProcessKilledError killed) {
            return Optional.empty();
        } catch (InterruptedException interrupted) {
            throw new AssertionError(interrupted);
        }
    }

    private ServiceAnswer send(CallVm vm, CallIdentity identity, String request) throws UpstreamException {
        vm.hasSent = true;
        listener.onStep(vm, CallStep.SEND, false);
        if (!vm.alive) {
            throw new ProcessKilledError();
        }
        CallFault fault = sendFault;
        if (fault == CallFault.NOT_SENT) {
            throw new NotSentException("no connection");
        }
        if (fault == CallFault.REFUSED) {
            throw new UpstreamRefusedException("the service is full");
        }
        if (fault == CallFault.CLOSED_BEFORE_RUN) {
            throw new AnswerTruncatedException("closed");
        }
        executions.computeIfAbsent(identity, none -> new ArrayList<>()).add(request);
        listener.onStep(vm, CallStep.SEND, true);
        if (fault == CallFault.CLOSED_AFTER_RUN) {
            throw new AnswerTruncatedException("closed");
        }
        return new ServiceAnswer(200, List.of(), request.getBytes(StandardCharsets.UTF_8));
    }

    /** Advances all clocks; called during a step, it simulates a paused process. */
    void advance(Duration duration) {
        platformClock.advance(duration);
        vms.forEach(vm -> vm.clock.advance(duration));
    }

    void heal() {
        listener = (vm, step, after) -> StoreFault.NONE;
        sendFault = CallFault.NONE;
        hub.restoreAll();
        vms.forEach(vm -> vm.platformDown = false);
    }

    void maintain() {
        for (CallVm vm : List.copyOf(vms)) {
            try {
                if (vm.alive) {
                    vm.ledger.maintain();
                }
            } catch (ProcessKilledError killed) {
                assertFalse(vm.alive);
            }
        }
    }

    /** Checks that no call ran twice and that returned and stored outcomes match the executions. */
    void check() {
        executions.forEach(this::checkRuns);
        for (ReturnedOutcome returned : returnedOutcomes) {
            List<String> runs = executions.getOrDefault(returned.identity(), List.of());
            switch (returned.outcome()) {
                case CallOutcome.NotRun notRun ->
                    assertFalse(
                            runs.contains(returned.request()), () -> returned + " contradicts the executions " + runs);
                case CallOutcome.Ran ran -> assertTrue(runs.contains(bodyOf(ran)), returned::toString);
                default -> {}
            }
        }
        vms.forEach(vm -> assertEquals(0, vm.violations(), "violations at " + vm.id));
        checkStoredOutcomes();
    }

    /** A second run is allowed only for a request that began after the record of the first had expired. */
    private void checkRuns(CallIdentity identity, List<String> runs) {
        for (int i = 1; i < runs.size(); i++) {
            long gap = startedAt.get(runs.get(i)) - startedAt.get(runs.get(i - 1));
            assertTrue(gap >= RetentionLeases.RETENTION.toNanos(), () -> identity + " ran as " + runs);
        }
    }

    private static String bodyOf(CallOutcome.Ran ran) {
        return new String(ran.answer().body(), StandardCharsets.UTF_8);
    }

    private void checkStoredOutcomes() {
        for (CallVm vm : vms) {
            if (!vm.alive || vm.platformDown) {
                continue;
            }
            for (CallIdentity identity : executions.keySet()) {
                CallOutcome found;
                try {
                    found = vm.ledger.find(identity);
                } catch (InterruptedException interrupted) {
                    throw new AssertionError(interrupted);
                }
                assertFalse(found instanceof CallOutcome.NotRun, () -> identity + " ran, but is stored as " + found);
                if (found instanceof CallOutcome.Ran ran) {
                    assertEquals(executions.get(identity).getLast(), bodyOf(ran));
                }
            }
        }
    }
}
