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

/** Guards against a call that runs twice, and against a "not run" that is not true, under every fault at every step. */
final class CallFaultMatrixTest {
    private static final Duration LONGER_THAN_SEND_LIMIT = StoredCallLedger.SEND_LIMIT.plusSeconds(1);
    private static final Duration LONGER_THAN_RETENTION = Duration.ofHours(26);

    private final CallSimulation world = new CallSimulation();
    private final CallVm first = world.vms.get(0);
    private final CallVm second = world.vms.get(1);
    private final CallVm third = world.vms.get(2);

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
        List<Planned> open = new ArrayList<>(List.of(new Planned(step, fault), new Planned(otherStep, otherFault)));
        world.listener = (vm, at, after) -> {
            if (vm != first) {
                return StoreFault.NONE;
            }
            Optional<Planned> next = open.stream()
                    .filter(planned -> planned.step() == at && planned.strikesAfter() == after)
                    .findFirst();
            next.ifPresent(open::remove);
            return next.isPresent() ? strike(next.get().fault(), at) : StoreFault.NONE;
        };
        world.call(first, CallSimulation.IDENTITY, "hash");
        world.call(second, CallSimulation.IDENTITY, "hash");
        world.maintain();
        world.heal();
        world.maintain();
        world.call(third, CallSimulation.IDENTITY, "hash");
        world.call(first, CallSimulation.IDENTITY, "hash");
        world.check();
    }

    private StoreFault strike(CallFault fault, CallStep at) {
        switch (fault) {
            case KILL_BEFORE, KILL_AFTER -> first.kill();
            case PAUSE_BEFORE, PAUSE_AFTER ->
                world.advance(
                        at == CallStep.SEND || at == CallStep.OUTCOME ? LONGER_THAN_SEND_LIMIT : LONGER_THAN_RETENTION);
            case CUT_LINK_TO_OTHER -> world.hub.cut(first.id, second.id);
            case CUT_FROM_ALL -> first.cutFromAll();
            case PLATFORM_DOWN -> world.vms.forEach(vm -> vm.platformDown = true);
            case SECOND_CALLER_BEFORE, SECOND_CALLER_AFTER -> world.call(second, CallSimulation.IDENTITY, "hash");
            case OTHER_BODY -> world.call(second, CallSimulation.IDENTITY, "other hash");
            case CLOSED_BEFORE_RUN, CLOSED_AFTER_RUN, NOT_SENT, REFUSED -> world.sendFault = fault;
            default -> {}
        }
        return switch (fault) {
            case LOST_ANSWER -> StoreFault.LOST_ANSWER;
            case LOST_REQUEST, PLATFORM_SLOW -> StoreFault.LOST_REQUEST;
            default -> StoreFault.NONE;
        };
    }

    private record Planned(CallStep step, CallFault fault) {
        boolean strikesAfter() {
            return fault.name().endsWith("_AFTER");
        }
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "claim", fault = "platform down")
    void refusesAsNotRunWithoutSendingWhilePlatformIsDown() {
        first.platformDown = true;
        assertInstanceOf(
                CallOutcome.NotRun.class,
                world.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        assertTrue(world.executions.isEmpty());
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "send", fault = "no byte left the process")
    void letsSameIdentityRunAgainAfterItWasCertainlyNotSent() {
        world.sendFault = CallFault.NOT_SENT;
        assertInstanceOf(
                CallOutcome.NotRun.class,
                world.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        world.sendFault = CallFault.NONE;
        assertInstanceOf(
                CallOutcome.Ran.class,
                world.call(second, CallSimulation.IDENTITY, "hash").orElseThrow());
        world.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "after not run", fault = "two VMs claim the ended call again")
    void letsOnlyOneVmTakeOverCallThatDidNotRun() {
        world.sendFault = CallFault.NOT_SENT;
        world.call(first, CallSimulation.IDENTITY, "hash");
        world.sendFault = CallFault.NONE;
        List<CallOutcome> nested = new ArrayList<>();
        world.listener = (vm, step, after) -> {
            if (vm == second && step == CallStep.SEND && !after) {
                nested.add(world.call(third, CallSimulation.IDENTITY, "hash").orElseThrow());
            }
            return StoreFault.NONE;
        };
        world.call(second, CallSimulation.IDENTITY, "hash");
        assertInstanceOf(CallOutcome.InProgress.class, nested.getFirst());
        world.check();
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "send", fault = "connection closed before the call ran")
    void saysUnknownWhenConnectionClosedWithoutAnswer() {
        world.sendFault = CallFault.CLOSED_BEFORE_RUN;
        assertInstanceOf(
                CallOutcome.Unknown.class,
                world.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        world.heal();
        assertInstanceOf(
                CallOutcome.Unknown.class,
                world.call(second, CallSimulation.IDENTITY, "hash").orElseThrow());
        assertTrue(world.executions.isEmpty());
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claimed", fault = "claimer killed or restarted")
    void saysUnknownWhenClaimerIsGoneAndNeverSendsAgain() {
        world.listener = (vm, step, after) -> {
            if (vm == first && step == CallStep.SEND && after) {
                first.kill();
            }
            return StoreFault.NONE;
        };
        world.call(first, CallSimulation.IDENTITY, "hash");
        CallVm restarted = new CallVm(world, first.id, 99);
        for (CallVm vm : List.of(second, restarted)) {
            assertInstanceOf(
                    CallOutcome.Unknown.class,
                    world.call(vm, CallSimulation.IDENTITY, "hash").orElseThrow());
        }
        world.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claim", fault = "answer to the claim lost")
    void recognisesOwnClaimAfterLostAnswerAndSendsOnce() {
        boolean[] lost = {false};
        world.listener = (vm, step, after) -> {
            boolean loses = step == CallStep.CLAIM && !after && !lost[0];
            lost[0] |= loses;
            return loses ? StoreFault.LOST_ANSWER : StoreFault.NONE;
        };
        assertInstanceOf(
                CallOutcome.Ran.class,
                world.call(first, CallSimulation.IDENTITY, "hash").orElseThrow());
        world.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "claim", fault = "key reused with another body")
    void refusesReusedKeyWithAnotherBody() {
        world.call(first, CallSimulation.IDENTITY, "hash");
        assertInstanceOf(
                CallOutcome.IdentityReused.class,
                world.call(second, CallSimulation.IDENTITY, "other").orElseThrow());
        world.check();
    }

    @Test
    @FaultRow(promise = Promise.AT_MOST_ONCE, step = "outcome", fault = "platform down for 30 s after the call ran")
    void storesOutcomeWhenPlatformReturnsWithinAMinute() throws Exception {
        world.listener = (vm, step, after) -> {
            vm.platformDown |= step == CallStep.SEND;
            return StoreFault.NONE;
        };
        world.call(first, CallSimulation.IDENTITY, "hash");
        world.heal();
        assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY));
        world.advance(Duration.ofSeconds(30));
        world.maintain();
        world.hub.remove(first.id);
        assertInstanceOf(CallOutcome.Ran.class, second.ledger.find(CallSimulation.IDENTITY));
    }

    @Test
    @FaultRow(promise = Promise.TRUE_NOT_RUN, step = "status", fault = "outcome stored while the claimer is asked")
    void readsRecordAgainWhenClaimerHasStoredOutcomeMeanwhile() throws Exception {
        world.listener = (vm, step, after) -> {
            first.platformDown |= step == CallStep.SEND;
            return StoreFault.NONE;
        };
        world.call(first, CallSimulation.IDENTITY, "hash");
        world.listener = (vm, step, after) -> {
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
        world.listener = (vm, step, after) -> {
            if (vm == first && step == CallStep.SEND && after) {
                for (int hour = 0; hour < 30; hour++) {
                    world.advance(Duration.ofHours(1));
                    first.ledger.maintain();
                }
                world.call(second, CallSimulation.IDENTITY, "hash");
            }
            return StoreFault.NONE;
        };
        world.call(first, CallSimulation.IDENTITY, "hash");
        assertEquals(List.of("request-0"), world.executions.get(CallSimulation.IDENTITY));
        world.check();
    }

    @Test
    void dropsRecordAfterRetentionAndSharesLeases() throws Exception {
        for (int i = 0; i < 100; i++) {
            world.call(
                    first,
                    new CallIdentity(CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-" + i),
                    "hash");
        }
        assertEquals(1, first.store.calls(StoreOperation.GRANT_LEASE));
        assertEquals(200, first.store.calls(StoreOperation.COMPARE_AND_SWAP));
        world.advance(LONGER_THAN_RETENTION);
        world.call(first, CallSimulation.IDENTITY, "hash");
        assertEquals(2, first.store.calls(StoreOperation.GRANT_LEASE));
        CallIdentity lapsed =
                new CallIdentity(CallSimulation.IDENTITY.account(), CallSimulation.IDENTITY.service(), "key-1");
        assertInstanceOf(CallOutcome.NotFound.class, first.ledger.find(lapsed));
    }

    @Test
    void saysThatLargeBodyWasNotKept() throws Exception {
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
    void tellsNotRunFromUnknownForCallsWithoutKey() throws Exception {
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
