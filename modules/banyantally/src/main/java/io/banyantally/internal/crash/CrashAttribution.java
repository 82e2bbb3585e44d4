package io.banyantally.internal.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Attributes crashes of upstreams to parts of the prompts that they had.
 *
 * <p>Designed for a load in which one part crashes every upstream that generates an answer to it, while the upstream
 * also has many sound prompts, which share their other parts with the one that crashes it. The part that was present at
 * most crashes explains them, and only crashes that it does not explain count against other parts. Parts that were
 * always together can't be told apart, so they are only blamed together.
 */
final class CrashAttribution {

    /** Fewer crashes may be chance: upstreams also fail by themselves, one after the other. */
    static final int EPISODES_TO_BLAME = 3;

    /** With so many crashes fewer episodes are enough, as many prompts of one kind crash all upstreams at once. */
    static final int CRASHES_TO_BLAME = 5;

    private static final int EPISODES_OF_MANY_CRASHES = 2;

    private CrashAttribution() {}

    /** Returns the sets of parts that crash upstreams; a prompt does so if it has all parts of one of the sets. */
    static List<Set<PromptPartKey>> blame(Collection<Crash> crashes) {
        List<Set<PromptPartKey>> blamed = new ArrayList<>();
        Set<Crash> unexplained = new HashSet<>(crashes);
        while (true) {
            Map<PromptPartKey, Set<Crash>> crashesByPart = crashesByPart(unexplained);
            Optional<Set<Crash>> most = crashesByPart.values().stream()
                    .filter(CrashAttribution::isEnoughToBlame)
                    .max(Comparator.comparingInt(Set::size));
            if (most.isEmpty()) {
                return blamed;
            }
            Set<PromptPartKey> together = new HashSet<>();
            crashesByPart.forEach((part, present) -> {
                if (present.equals(most.get())) {
                    together.add(part);
                }
            });
            blamed.add(Set.copyOf(together));
            unexplained.removeAll(most.get());
        }
    }

    /** Returns the parts that one more crash may be enough to blame. */
    static Set<PromptPartKey> nearlyBlamed(Collection<Crash> crashes) {
        return crashesByPart(crashes).entrySet().stream()
                .filter(entry -> episodes(entry.getValue()) >= EPISODES_TO_BLAME - 1
                        || entry.getValue().size() >= CRASHES_TO_BLAME - 1)
                .map(Map.Entry::getKey)
                .collect(Collectors.toSet());
    }

    private static Map<PromptPartKey, Set<Crash>> crashesByPart(Collection<Crash> crashes) {
        Map<PromptPartKey, Set<Crash>> crashesByPart = new HashMap<>();
        crashes.forEach(crash -> crash.parts()
                .forEach(part -> crashesByPart
                        .computeIfAbsent(part, unseen -> new HashSet<>())
                        .add(crash)));
        return crashesByPart;
    }

    private static boolean isEnoughToBlame(Set<Crash> crashes) {
        long episodes = episodes(crashes);
        return episodes >= EPISODES_TO_BLAME
                || (episodes >= EPISODES_OF_MANY_CRASHES && crashes.size() >= CRASHES_TO_BLAME);
    }

    private static long episodes(Set<Crash> crashes) {
        return crashes.stream().mapToLong(Crash::episode).distinct().count();
    }

    /**
     * A crash of an upstream.
     *
     * @param upstream identifies the upstream and its start
     * @param episode crashes of the same episode may have a common cause other than a prompt, and count as one
     * @param parts the parts of all prompts that the upstream had, without those that were served since
     */
    record Crash(String upstream, long episode, Set<PromptPartKey> parts) {

        Crash {
            parts = Set.copyOf(parts);
        }
    }
}
