package io.banyantally.standins.experiment;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The bounds are the targets of docs/design.md, section 1.3; the seeds are fixed. */
final class ExperimentTest {
    private static final long SEED = 1;

    private static List<RunResult> runs(Site site, double load) {
        Trace trace = TraceRuns.trace(site, load, SEED);
        List<RunResult> results = new ArrayList<>();
        for (PolicyKind policy : PolicyKind.values()) {
            results.add(TraceRuns.run(trace, policy));
        }
        return results;
    }

    /** Guards against changes of admission, routing or planning that lose the required margin over the baselines. */
    @ParameterizedTest
    @EnumSource(Site.class)
    void meetsTheTargetsAtAndAboveCapacity(Site site) {
        List<RunResult> results = new ArrayList<>(runs(site, 1.0));
        results.addAll(runs(site, 1.5));
        Comparison comparison = new Comparison(results);
        for (double load : new double[] {1.0, 1.5}) {
            assertTrue(comparison.ratioToBest(site, load, RunResult::goodput).minimum() >= 1.3);
            assertTrue(comparison
                            .ratioToLowest(site, load, RunResult::costPerThousandGood)
                            .maximum()
                    <= 0.8);
            assertTrue(comparison.roleChangeRatioToNaive(site, load).maximum() <= 1 / 3.0);
        }
        assertTrue(comparison.ratioToBest(site, 1.5, RunResult::lowestGoodShare).minimum() >= 1.5);
        assertTrue(comparison.goodputRatioToLoad(site, 1.5, 1.0).minimum() >= 0.95);
    }

    /** Guards against runs that depend on anything but the trace, so that policies could not be compared. */
    @ParameterizedTest
    @EnumSource(Site.class)
    void sameSeedGivesTheSameResult(Site site) {
        Trace trace = TraceRuns.trace(site, 1.0, SEED);
        RunResult one = TraceRuns.run(trace, PolicyKind.BANYANTALLY);
        RunResult other = TraceRuns.run(TraceRuns.trace(site, 1.0, SEED), PolicyKind.BANYANTALLY);
        assertArrayEquals(one.goodPerBucket(), other.goodPerBucket());
        assertEquals(one.firstToken(), other.firstToken());
    }
}
