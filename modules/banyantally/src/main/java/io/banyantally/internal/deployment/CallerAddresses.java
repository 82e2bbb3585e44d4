package io.banyantally.internal.deployment;

import io.banyantally.internal.routing.Rendezvous;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the VMs that callers of an availability zone are named when there are more VMs than an answer may hold.
 *
 * <p>Every VM that accepts callers must get new connections, so the zones get windows of one order of all VMs, at even
 * distances. Any VM chooses the same window for a zone, so callers keep their connections whichever VM they ask. In a
 * fleet so large that the windows leave gaps, they move over the order.
 */
public final class CallerAddresses {

    /** The time in which moving windows name every VM. */
    static final Duration ROUND_TIME = Duration.ofSeconds(3);

    private static final Comparator<MemberEntry> ORDER = Comparator.comparingLong(
                    (MemberEntry member) -> Rendezvous.weight("callers", member.vm()))
            .thenComparing(MemberEntry::vm);

    private CallerAddresses() {}

    /**
     * Returns at most {@code maximum} of the members.
     *
     * @param callerZone the name of the caller's zone; a zone without members is treated like the first one
     * @param time the time since any fixed moment, by which moving windows move
     */
    public static List<MemberEntry> choose(List<MemberEntry> members, String callerZone, int maximum, Duration time) {
        if (members.size() <= maximum) {
            return members;
        }
        List<String> zones = members.stream()
                .map(member -> member.zone().value())
                .distinct()
                .sorted()
                .toList();
        int distance = Math.ceilDiv(members.size(), zones.size());
        long start = (long) distance * Math.max(0, zones.indexOf(callerZone));
        if (distance > maximum) {
            start += time.toMillis() * distance / ROUND_TIME.toMillis();
        }
        List<MemberEntry> ordered = members.stream().sorted(ORDER).toList();
        List<MemberEntry> chosen = new ArrayList<>();
        for (int offset = 0; offset < maximum; offset++) {
            chosen.add(ordered.get((int) ((start + offset) % ordered.size())));
        }
        return chosen;
    }
}
