package io.banyantally.internal.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Plays the load of a plain service of 500 upstreams, and compares what callers get with a choice among all. */
final class PlainLoadTest {

    private static final int UPSTREAMS = 500;
    private static final int SEEDS = 3;
    private static final Duration DURATION = Duration.ofSeconds(1);

    /** Guards against a choice among a few upstreams that serves fewer requests in time than one among all. */
    @ParameterizedTest
    @EnumSource
    void asManyRequestsAreInTimeAsWithAChoiceAmongAll(Load load) {
        List<PlainLoadSimulation.Result> few = play(load, PlainLoadSimulation.Vm::choose);
        List<PlainLoadSimulation.Result> all = play(load, PlainLoadSimulation.Vm::chooseAmongAll);

        double inTime = ratio(few, all, result -> result.inTime);
        double worstQueue = ratio(few, all, result -> result.worstQueue);
        String seen = load + ": ratio in time " + inTime + ", of the worst queue " + worstQueue + "; few " + few
                + "; all " + all;
        assertTrue(inTime >= 0.99, seen);
        assertTrue(worstQueue <= 1.5, seen);
        few.forEach(result -> {
            assertEquals(0, result.refused, seen);
            assertEquals(0, result.sentToLeaving, seen);
        });
    }

    private static double ratio(
            List<PlainLoadSimulation.Result> few,
            List<PlainLoadSimulation.Result> all,
            ToDoubleFunction<PlainLoadSimulation.Result> value) {
        return few.stream().mapToDouble(value).sum()
                / all.stream().mapToDouble(value).sum();
    }

    private static List<PlainLoadSimulation.Result> play(Load load, PlainLoadSimulation.Choice choice) {
        List<PlainLoadSimulation.Kind> kinds =
                IntStream.range(0, UPSTREAMS).mapToObj(load::kind).toList();
        return LongStream.rangeClosed(1, SEEDS)
                .mapToObj(seed -> new PlainLoadSimulation(kinds, seed, choice).run(seed, load.utilization, DURATION))
                .toList();
    }

    /** The upstreams, and how much of their slots the requests would occupy. */
    enum Load {
        EQUAL(0.85),
        ONE_SLOT(0.9),
        NEARLY_FULL(0.97),
        OVERLOADED(1.05),
        UNEQUAL_SLOTS(0.9),
        SOME_SLOW(0.7),
        TROUBLED(0.6);

        private final double utilization;

        Load(double utilization) {
            this.utilization = utilization;
        }

        PlainLoadSimulation.Kind kind(int number) {
            return switch (this) {
                case EQUAL, NEARLY_FULL, OVERLOADED -> serving(2, 1);
                case ONE_SLOT -> serving(1, 1);
                case UNEQUAL_SLOTS -> serving(number % 10 == 0 ? 8 : 2, 1);
                case SOME_SLOW -> serving(2, number % 10 == 0 ? 4 : 1);
                case TROUBLED -> troubled(number);
            };
        }

        private static PlainLoadSimulation.Kind serving(int slots, double slowness) {
            return new PlainLoadSimulation.Kind(slots, slowness, PlainLoadSimulation.State.SERVING);
        }

        /** A tenth leaves, a tenth is slow, and a twentieth each fails at once or never answers. */
        private static PlainLoadSimulation.Kind troubled(int number) {
            return switch (number % 20) {
                case 0 -> new PlainLoadSimulation.Kind(2, 1, PlainLoadSimulation.State.FAILING);
                case 1 -> new PlainLoadSimulation.Kind(2, 1, PlainLoadSimulation.State.HANGING);
                case 2, 3 -> new PlainLoadSimulation.Kind(2, 1, PlainLoadSimulation.State.LEAVING);
                case 4, 5 -> serving(2, 4);
                default -> serving(2, 1);
            };
        }
    }
}
