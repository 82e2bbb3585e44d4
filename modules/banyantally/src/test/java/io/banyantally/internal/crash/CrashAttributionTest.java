package io.banyantally.internal.crash;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.banyantally.internal.crash.CrashAttribution.Crash;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

final class CrashAttributionTest {

    /** Guards against blaming a part that was at crashed upstreams by chance, beside the one that explains them. */
    @Test
    void partAtEveryCrashExplainsTheOthers() {
        List<Crash> crashes = List.of(
                crash(1, "dead", "other"), crash(2, "dead", "other"), crash(3, "dead", "other"), crash(4, "dead"));

        assertEquals(List.of(parts("dead")), CrashAttribution.blame(crashes));
    }

    /** Guards against refusing sound prompts that share one of two parts that were always at crashes together. */
    @Test
    void partsThatWereAlwaysTogetherAreBlamedTogetherOnly() {
        List<Crash> crashes = List.of(crash(1, "dead", "first"), crash(2, "dead", "first"), crash(3, "dead", "first"));

        assertEquals(List.of(parts("dead", "first")), CrashAttribution.blame(crashes));
    }

    /** Guards against taking upstreams that end at the same moment for crashes that follow each other. */
    @Test
    void crashesOfOneEpisodeCountAsOne() {
        List<Crash> crashes = List.of(crash(1, "a"), new Crash("u9", 1, parts("a")), crash(2, "a"));

        assertEquals(List.of(), CrashAttribution.blame(crashes));
    }

    /** Guards against finding only one of two parts that crash upstreams at the same time. */
    @Test
    void twoCrashingPartsAreBothFound() {
        List<Crash> crashes =
                List.of(crash(1, "x"), crash(2, "y"), crash(3, "x"), crash(4, "y"), crash(5, "x"), crash(6, "y"));

        assertEquals(Set.of(parts("x"), parts("y")), Set.copyOf(CrashAttribution.blame(crashes)));
    }

    private static Crash crash(long episode, String... parts) {
        return new Crash("u" + episode, episode, parts(parts));
    }

    private static Set<PromptPartKey> parts(String... names) {
        return Arrays.stream(names).map(PromptPartKey::new).collect(Collectors.toSet());
    }
}
