package io.banyantally.internal.idempotency;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.invariant.Promise;
import io.banyantally.testing.FaultRow;
import io.banyantally.testing.StoreFault;
import io.banyantally.testing.StoreOperation;
import io.banyantally.upstream.AnswerTruncatedException;
import io.banyantally.upstream.NotSentException;
import io.banyantally.upstream.ServiceAnswer;
import io.banyantally.upstream.UpstreamRefusedException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against calls that run twice or are wrongly reported as not run, with each fault injected at each step. */
final class CallFaultMatrixTest {
    private static final Duration LONGER_THAN_SEND_LIMIT = StoredCallLedger.SEND_LIMIT.plusSeconds(1);
    private static final Duration LONGER_THAN_RETENTION = Duration.ofHours(26);

    private final CallSimulation simulation = new CallSimulation();
    private final CallVm first = simulation.vms.get(0);
    private final CallVm second = simulation.vms.get(1);
    private final CallVm third = simulation.vms.get(2);

    static Stream<Arguments> singleFaults() {
        return Stream.of(CallStep.values())
                .flatMap(step -> Stream.of(CallFault.values()).map(fault -> Arguments.of(step, fault)));
    }

    static Stream<Arguments> pairsOfFaults() {
        List<Arguments> rows = new ArrayList<>();
        List<CallFault> frequent = List.of(
                CallFault.KILL_AFTER,
                CallFault.PAUSE_BEFORE,
                CallFault.CUT_FROM_ALL,
                CallFault.PLATFORM_DOWN,
                CallFault.LOST_ANSWER,
                CallFault.LOST_REQUEST,
                CallFault.NOT_SENT,
                CallFault.CLOSED_AFTER_RUN,
                CallFault.SECOND_CALLER_AFTER);
        for (CallStep step : CallStep.values()) {
            for (CallFault one : frequent) {
                for (CallStep otherStep : CallStep.values()) {
                    for (CallFault other : frequent) {
                        rows.add(Arguments.of(step, one, otherStep, other));
                    }
                }
            }
        }
        return rows.stream();
    }

    @ParameterizedTest
    @MethodSource("singleFaults")
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "each step of a protected call", fault = "each fault")
    void runsAtMostOnceUnderOneFault(CallStep step, CallFault fault) {
        runWithFaults(step, fault, step, CallFault.NONE);
    }

    @ParameterizedTest
    @MethodSource("pairsOfFaults")
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "each two steps", fault = "each two frequent faults")
    void runsAtMostOnceUnderTwoFaults(CallStep step, CallFault fault, CallStep otherStep, CallFault otherFault) {
        runWithFaults(step, fault, otherStep, otherFault);
    }

    private void runWithFaults(CallStep step, CallFault fault, CallStep otherStep, CallFault otherFault) {
        List<PlannedFault> pending =
                new ArrayList<>(List.of(new PlannedFault(step, fault), new PlannedFault(otherStep, otherFault)));
        simulation.listener = (vm, at, after) -> {
            if (vm != first) {
                return StoreFault.NONE;
            }
            Optional<PlannedFault> next = pending.stream()
                    .filter(planned -> planned.step() == at && planned.isInjectedAfter() == after)
                    .findFirst();
            next.ifPresent(pending::remove);
            return next.isPresent() ? inject(next.get().fault(), at) : StoreFault.NONE;
        };
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        simulation.call(second, CallSimulation.IDENTITY, "hash");
        simulation.maintain();
        simulation.heal();
        simulation.maintain();
        simulation.call(third, CallSimulation.IDENTITY, "hash");
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        simulation.check();
    }

    private StoreFault inject(CallFault fault, CallStep at) {
        switch (fault) {
            case KILL_BEFORE, KILL_AFTER -> first.kill();
            case PAUSE_BEFORE, PAUSE_AFTER ->
                simulation.advance(
                        at == CallStep.SEND || at == CallStep.OUTCOME ? LONGER_THAN_SEND_LIMIT : LONGER_THAN_RETENTION);
            case CUT_LINK_TO_OTHER -> simulation.hub.cut(first.id, second.id);
            case CUT_FROM_ALL -> first.cutFromAll();
            case PLATFORM_DOWN -> simulation.vms.forEach(vm -> vm.platformDown = true);
            case SECOND_CALLER_BEFORE, SECOND_CALLER_AFTER -> simulation.call(second, CallSimulation.IDENTITY, "hash");
            case OTHER_BODY -> simulation.call(second, CallSimulation.IDENTITY, "other hash");
            case CLOSED_BEFORE_RUN, CLOSED_AFTER_RUN, NOT_SENT, REFUSED -> simulation.sendFault = fault;
            default -> {}
        }
        return switch (fault) {
            case LOST_ANSWER -> StoreFault.LOST_ANSWER;
            case LOST_REQUEST, PLATFORM_SLOW -> StoreFault.LOST_REQUEST;
            default -> StoreFault.NONE;
        };
    }

    private record PlannedFault(CallStep step, CallFault fault) {
        boolean isInjectedAfter() {
            return fault.name().endsWith("_AFTER");
        }
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "claim", fault = "platform down")
    void refusesAsNotRunWithoutSendingWhilePlatformIsDown() {
        first.platformDown = true;
        assertInstanceOf(
                CallOutcome.NotRun.class,
                simulation.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        assertTrue(simulation.executions.isEmpty());
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "send", fault = "no byte left the process")
    void allowsSameIdentityAgainAfterCallWasNotSent() {
        simulation.sendFault = CallFault.NOT_SENT;
        assertInstanceOf(
                CallOutcome.NotRun.class,
                simulation.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        simulation.sendFault = CallFault.NONE;
        assertInstanceOf(
                CallOutcome.Ran.class,
                simulation.call(second, CallSimulation.IDENTITY, "hash").orElseThrow());
        simulation.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "after not run", fault = "two VMs claim the ended call again")
    void letsOnlyOneVmClaimCallThatDidNotRun() {
        simulation.sendFault = CallFault.NOT_SENT;
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        simulation.sendFault = CallFault.NONE;
        List<CallOutcome> nested = new ArrayList<>();
        simulation.listener = (vm, step, after) -> {
            if (vm == second && step == CallStep.SEND && !after) {
                nested.add(
                        simulation.call(third, CallSimulation.IDENTITY, "hash").orElseThrow());
            }
            return StoreFault.NONE;
        };
        simulation.call(second, CallSimulation.IDENTITY, "hash");
        assertInstanceOf(CallOutcome.InProgress.class, nested.getFirst());
        simulation.check();
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "send", fault = "connection closed before the call ran")
    void reportsUnknownWhenConnectionIsClosedWithoutAnswer() {
        simulation.sendFault = CallFault.CLOSED_BEFORE_RUN;
        assertInstanceOf(
                CallOutcome.Unknown.class,
                simulation.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        simulation.heal();
        assertInstanceOf(
                CallOutcome.Unknown.class,
                simulation.call(second, CallSimulation.IDENTITY, "hash").orElseThrow());
        assertTrue(simulation.executions.isEmpty());
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claimed", fault = "claimer killed or restarted")
    void reportsUnknownWhenClaimerIsUnreachableAndNeverSendsAgain() {
        simulation.listener = (vm, step, after) -> {
            if (vm == first && step == CallStep.SEND && after) {
                first.kill();
            }
            return StoreFault.NONE;
        };
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        CallVm restarted = new CallVm(simulation, first.id, 99);
        for (CallVm vm : List.of(second, restarted)) {
            assertInstanceOf(
                    CallOutcome.Unknown.class,
                    simulation.call(vm, CallSimulation.IDENTITY, "hash").orElseThrow());
        }
        simulation.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claim", fault = "answer to the claim lost")
    void recognisesOwnClaimAfterLostAnswerAndSendsOnce() {
        boolean[] lost = {false};
        simulation.listener = (vm, step, after) -> {
            boolean loses = step == CallStep.CLAIM && !after && !lost[0];
            lost[0] |= loses;
            return loses ? StoreFault.LOST_ANSWER : StoreFault.NONE;
        };
        assertInstanceOf(
                CallOutcome.Ran.class,
                simulation.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        simulation.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claim", fault = "key reused with another body")
    void refusesReusedKeyWithAnotherBody() {
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        assertInstanceOf(
                CallOutcome.IdentityReused.class,
                simulation.call(second, CallSimulation.IDENTITY, "other").orElseThrow());
        simulation.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "outcome", fault = "platform down for 30 s after the call ran")
    void storesOutcomeWhenPlatformReturnsWithinAMinute() throws Exception {
        simulation.listener = (vm, step, after) -> {
            vm.platformDown |= step == CallStep.SEND;
            return StoreFault.NONE;
        };
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        simulation.heal();
        assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY));
        simulation.advance(Duration.ofSeconds(30));
        simulation.maintain();
        simulation.hub.remove(first.id);
        assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY));
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "status", fault = "outcome stored while the claimer is queried")
    void readsRecordAgainWhenClaimerStoresOutcomeDuringQuery() throws Exception {
        simulation.listener = (vm, step, after) -> {
            first.platformDown |= step == CallStep.SEND;
            return StoreFault.NONE;
        };
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        simulation.listener = (vm, step, after) -> {
            if (vm == second && step == CallStep.READ && after) {
                first.platformDown = false;
                first.ledger.maintain();
            }
            return StoreFault.NONE;
        };
        assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY));
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "in progress", fault = "call lasts longer than the retention")
    void keepsRecordOfCallInProgressBeyondRetention() {
        simulation.listener = (vm, step, after) -> {
            if (vm == first && step == CallStep.SEND && after) {
                for (int hour = 0; hour < 30; hour++) {
                    simulation.advance(Duration.ofHours(1));
                    first.ledger.maintain();
                }
                simulation.call(second, CallSimulation.IDENTITY, "hash");
            }
            return StoreFault.NONE;
        };
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        assertEquals(List.of("request-0"), simulation.executions.get(CallSimulation.IDENTITY));
        simulation.check();
    }

    @Test
    void expiresRecordAfterRetentionAndSharesLeases() throws Exception {
        for (int i = 0; i < 100; i++) {
            simulation.call(
                    first,
                    new CallIdentity(CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-" + i),
                    "hash");
        }
        assertEquals(1, first.store.calls(StoreOperation.GRANT_LEASE));
        assertEquals(200, first.store.calls(StoreOperation.COMPARE_AND_SWAP));
        simulation.advance(LONGER_THAN_RETENTION);
        simulation.call(first, CallSimulation.IDENTITY, "hash");
        assertEquals(2, first.store.calls(StoreOperation.GRANT_LEASE));
        CallIdentity lapsed =
                new CallIdentity(CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-1");
        assertInstanceOf(CallOutcome.NotFound.class, first.ledger.find(lapsed));
    }

    @Test
    void reportsThatLargeBodyWasNotKept() throws Exception {
        byte[] body = new byte[CallRecord.MAXIMUM_BODY_BYTES + 1];
        CallOutcome.Ran ran = assertInstanceOf(
                CallOutcome.Ran.class,
                first.ledger.run(CallSimulation.IDENTITY, "hash", () -> new ServiceAnswer(200, List.of(), body)));
        assertTrue(ran.bodyKept());
        assertFalse(assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY))
                .bodyKept());
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "direct call", fault = "closed without answer, not sent, refused")
    void distinguishesNotRunFromUnknownForCallsWithoutKey() throws Exception {
        assertInstanceOf(CallOutcome.Unknown.class, AtMostOnceSender.send(() -> {
            throw new AnswerTruncatedException("closed");
        }));
        assertInstanceOf(CallOutcome.NotRun.class, AtMostOnceSender.send(() -> {
            throw new NotSentException("no connection");
        }));
        assertInstanceOf(CallOutcome.NotRun.class, AtMostOnceSender.send(() -> {
            throw new UpstreamRefusedException("full");
        }));
    }
}
