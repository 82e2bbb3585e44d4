package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.banyantally.internal.placement.PromptLoadSimulation.Profile;
import io.banyantally.testing.Deployments;
import java.time.Duration;
import java.util.List;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Plays an overload on engines whose speed the policy is not told, and checks what callers get. */
final class LearnedRateLoadTest {

    private static final int ENGINES = 6;
    private static final Duration DURATION = Duration.ofSeconds(30);

    /** More than the engines can compute even if every session is cached. */
    private static final double OVERLOAD = 1.3;

    /** The part of the best fixed setting that a deployment without a setting of its own must reach. */
    private static final double SHARE_OF_BEST = 0.9;

    /** Factors on the true time of a token among which the best fixed setting is searched. */
    private static final double[] SETTINGS = {0.35, 0.5, 0.7, 1, 1.4, 2};

    static Stream<Profile> profiles() {
        return Stream.concat(
                Stream.of(Profile.FAST_ENGINES, Profile.SLOW_ENGINES),
                LongStream.rangeClosed(1, 6).mapToObj(Profile::draw));
    }

    /** Guards against waits that are predicted with the speed of another deployment's engines. */
    @ParameterizedTest
    @MethodSource("profiles")
    void engineOfUnknownSpeedServesNearlyAsManyInTimeAsTheBestFixedSetting(Profile profile) {
        double best = DoubleStream.of(SETTINGS)
                .map(factor -> inTimeWithFixedRate(profile, factor))
                .max()
                .orElseThrow();

        double learned = play(profile, true, new PrefillRates());

        assertTrue(learned >= SHARE_OF_BEST * best, () -> "in time " + learned + ", best fixed setting " + best);
    }

    private static double inTimeWithFixedRate(Profile profile, double factor) {
        PrefillRates rates = new PrefillRates();
        rates.adopt(Deployments.ENGINES, factor / profile.tokensPerMilli());
        return play(profile, false, rates);
    }

    private static double play(Profile profile, boolean learns, PrefillRates rates) {
        PromptLoadSimulation simulation = new PromptLoadSimulation(1, ENGINES, profile, random -> {
            EnginePlacement placement = new EnginePlacement(random, rates);
            return new PromptLoadSimulation.Policy() {
                @Override
                public Placement.Decision decide(Placement.Demand demand, List<Candidate> candidates) {
                    return placement.decidePrefill(demand, candidates);
                }

                @Override
                public void prefilled(Placement.Decision.Send send, double elapsedMillis) {
                    if (learns) {
                        placement.recordPrefill(send, elapsedMillis);
                    }
                }
            };
        });
        return simulation
                .run(OVERLOAD * ENGINES * profile.requestsPerSecond(), DURATION)
                .inTimeShare();
    }
}
