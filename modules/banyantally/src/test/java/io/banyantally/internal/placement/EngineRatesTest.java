package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.banyantally.deployment.EngineStage;
import io.banyantally.deployment.PromptMetadata;
import io.banyantally.deployment.PromptPart;
import io.banyantally.deployment.ReplicaEntry;
import io.banyantally.internal.placement.PrefillCost.CacheExpectation;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.model.VmId;
import io.banyantally.testing.Deployments;
import io.banyantally.testing.ManualClock;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Records calls to engines without a queue and checks the learned times. */
final class EngineRatesTest {

    private static final ReplicaEntry ENGINE = Deployments.engine("engine-1", "zone-a", EngineStage.PREFILL);
    private static final ReplicaEntry OTHER = Deployments.engine("engine-2", "zone-a", EngineStage.PREFILL);
    private static final PromptMetadata PROMPT = prompt(3000);
    private static final VmId PEER = new VmId("vm-2");
    private static final double TOLERANCE = 0.25;

    /** The time of a pair of tokens that attention adds, in milliseconds. */
    private static final double ATTENTION = 8e-8;

    private static final double MINIMUM_CALL_MILLIS = 10;

    private final ManualClock clock = new ManualClock();
    private final Random random = new Random(1);
    private final EngineRates rates = new EngineRates(clock, new MetricRegistry());

    /** Guards against refusals by a VM that starts: it must expect less than the fastest engine needs. */
    @Test
    void unknownEngineIsExpectedToBeFast() {
        assertTrue(millis(ENGINE) < PROMPT.promptTokens() / 600.0);
        assertTrue(millis(ENGINE) > 0);
    }

    /** Guards against a start value that lasts: one second of calls must correct it, for long prompts as well. */
    @ParameterizedTest
    @ValueSource(doubles = {62.4, 307, 406, 514})
    void rateIsLearnedWithinASecond(double tokensPerMilli) {
        run(Duration.ofSeconds(1), tokensPerMilli, ENGINE, OTHER);

        assertNear(trueMillis(PROMPT, tokensPerMilli), millis(ENGINE));
        PromptMetadata longPrompt = prompt(30_000);
        assertNear(
                trueMillis(longPrompt, tokensPerMilli), rates.prefillMillis(ENGINE, longPrompt, CacheExpectation.NONE));
    }

    /** Guards against a VM that starts in a running fleet and has to measure all engines by itself. */
    @Test
    void startingVmUsesTheRatesOfItsPeers() {
        run(Duration.ofSeconds(2), 62.4, ENGINE, OTHER);
        EngineRates starting = new EngineRates(clock, new MetricRegistry());

        starting.receive(PEER, rates.rates(vm -> true));

        assertNear(trueMillis(PROMPT, 62.4), starting.prefillMillis(ENGINE, PROMPT, CacheExpectation.NONE));
    }

    /** Guards against forgetting the rate while there is no traffic. */
    @Test
    void rateIsKeptWithoutCalls() {
        run(Duration.ofSeconds(3), 62.4, ENGINE, OTHER);

        for (int second = 0; second < 120; second++) {
            clock.advance(Duration.ofSeconds(1));
            millis(ENGINE);
        }

        assertNear(trueMillis(PROMPT, 62.4), millis(ENGINE));
    }

    /** Guards against giving the factor of a slow engine to the one that replaces it under the same id. */
    @Test
    void replacedEngineBeginsAtTheRateOfItsKind() {
        runBoth(Duration.ofSeconds(6), 103, 514);
        assertNear(trueMillis(PROMPT, 103), millis(ENGINE));

        assertTrue(millis(replacement(ENGINE)) < 0.7 * millis(ENGINE));
    }

    /** Guards against an engine that becomes slow, or well again, and is judged by its former rate. */
    @Test
    void engineThatFallsToAFifthOfItsRateIsNoticedWithinTwoSeconds() {
        runBoth(Duration.ofSeconds(3), 514, 514);
        runBoth(Duration.ofSeconds(2), 103, 514);
        assertTrue(millis(ENGINE) > 0.75 * trueMillis(PROMPT, 103), () -> "slow engine: " + millis(ENGINE));
        assertTrue(millis(OTHER) < 1.5 * trueMillis(PROMPT, 514), () -> "usual engine: " + millis(OTHER));

        runBoth(Duration.ofSeconds(4), 514, 514);
        assertNear(trueMillis(PROMPT, 514), millis(ENGINE));
    }

    /** Guards against a kind of engine whose rate changes, such as by a new version, and is judged by its former rate. */
    @ParameterizedTest
    @ValueSource(doubles = {1028, 257, 103})
    void changeOfAllEnginesIsLearned(double tokensPerMilli) {
        runBoth(Duration.ofSeconds(3), 514, 514);

        runBoth(Duration.ofSeconds(4), tokensPerMilli, tokensPerMilli);

        assertNear(trueMillis(PROMPT, tokensPerMilli), millis(ENGINE));
    }

    /** Guards against taking the pace that an engine reports for its usual rate. */
    @Test
    void reportedPaceIsNotTakenForTheRate() {
        for (int call = 0; call < 200; call++) {
            clock.advance(Duration.ofMillis(25));
            rates.recordPrefill(
                    new Placement.Decision.Send(candidate(ENGINE, 3), 0, 5, "any"),
                    PROMPT,
                    3 * trueMillis(PROMPT, 514));
        }

        assertNear(trueMillis(PROMPT, 514), millis(ENGINE));
    }

    /** Guards against estimates that a message with figures out of range makes useless. */
    @Test
    void invalidReportsAreIgnored() {
        run(Duration.ofSeconds(1), 514, ENGINE);
        double before = millis(ENGINE);

        rates.receive(
                PEER,
                new RateReport(
                        List.of(
                                new RateReport.Sums("engines/PREFILL", List.of(1.0)),
                                new RateReport.Sums(
                                        ENGINE.service() + "/PREFILL",
                                        Collections.nCopies(PrefillCost.SUMS, Double.NaN))),
                        List.of(new RateReport.Sums(null, List.of(-1.0)))));
        clock.advance(Duration.ofMillis(20));

        assertEquals(before, millis(ENGINE), 0.05 * before);
    }

    private void runBoth(Duration duration, double rateOfEngine, double rateOfOther) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            call(ENGINE, rateOfEngine);
            call(OTHER, rateOfOther);
        }
    }

    private void run(Duration duration, double tokensPerMilli, ReplicaEntry... engines) {
        long end = clock.nanoTime() + duration.toNanos();
        while (clock.nanoTime() < end) {
            for (ReplicaEntry engine : engines) {
                call(engine, tokensPerMilli);
            }
        }
    }

    /** Records one call; an engine computes one prompt after the other, so time passes meanwhile. */
    private void call(ReplicaEntry engine, double tokensPerMilli) {
        PromptMetadata prompt = prompt(500 + random.nextInt(8000));
        Placement.Decision.Send choice = new Placement.Decision.Send(
                candidate(engine, 1), 0, rates.prefillMillis(engine, prompt, CacheExpectation.NONE), "any");
        double millis = trueMillis(prompt, tokensPerMilli);
        clock.advance(Duration.ofNanos((long) (Math.max(MINIMUM_CALL_MILLIS, millis) * 1_000_000)));
        rates.recordPrefill(choice, prompt, millis);
    }

    private double millis(ReplicaEntry engine) {
        return rates.prefillMillis(engine, PROMPT, CacheExpectation.NONE);
    }

    private static double trueMillis(PromptMetadata prompt, double tokensPerMilli) {
        return prompt.promptTokens() * (1 / tokensPerMilli + ATTENTION * prompt.promptTokens());
    }

    private static void assertNear(double expected, double actual) {
        assertEquals(expected, actual, TOLERANCE * expected);
    }

    private static PromptMetadata prompt(int tokens) {
        return new PromptMetadata(tokens, 10, List.of(new PromptPart("own", tokens)));
    }

    private static Candidate candidate(ReplicaEntry engine, double pace) {
        return new Candidate(engine, 0, 0, 0, 0, Optional.empty(), 0, 0, 0, 0, pace, false, true);
    }

    private static ReplicaEntry replacement(ReplicaEntry former) {
        return new ReplicaEntry(
                former.id(),
                former.service(),
                former.address(),
                former.zone(),
                former.slots(),
                former.draining(),
                former.stage(),
                former.cheap(),
                OptionalLong.of(2),
                former.sequence(),
                new SoftwareVersion("v1"));
    }
}
