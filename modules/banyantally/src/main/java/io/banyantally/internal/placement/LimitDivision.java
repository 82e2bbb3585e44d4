package io.banyantally.internal.placement;

import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The use of one limit that all VMs share: what this VM has sent, and what it has heard of the others. VMs do not see at
 * once what the others send, so sends are limited in rounds that last as long as messages take. Not thread-safe.
 */
final class LimitDivision {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private final SendWindow sends;
    private final Map<VmId, PeerSends> peerSendsByVm = new HashMap<>();
    private long roundBeganAt;
    private long roundSends;

    LimitDivision(long now) {
        sends = new SendWindow(now);
        roundBeganAt = now;
    }

    /** Records the sends of another VM; they count until they are older than the window, also if it falls silent. */
    void recordPeerSends(VmId peer, Sends peerSends, long now) {
        peerSendsByVm.put(peer, new PeerSends(peerSends, now));
    }

    /** Counts units that this VM sends. */
    void add(long units, long now) {
        roundSends += units;
        sends.add(units, now);
    }

    /** Takes back units that were counted at a time and not sent after all. */
    void remove(long units, long addedAt) {
        if (addedAt - roundBeganAt >= 0) {
            roundSends -= units;
        }
        sends.remove(units, addedAt);
    }

    /** Begins a new round and returns true if the present one has lasted as long as messages take. */
    boolean beginRound(LimitSharers sharers, long now) {
        if (now - roundBeganAt < sharers.knowledgeAge().toNanos()) {
            return false;
        }
        roundBeganAt = now;
        roundSends = 0;
        return true;
    }

    /** Returns the units that this VM has sent in the present round. */
    long roundSends() {
        return roundSends;
    }

    /**
     * Returns the sends of this VM and of the others that {@code included} accepts.
     *
     * @param window the window of the limit
     * @param ownWanting what this VM wants to send
     */
    Sends sends(Predicate<VmId> included, Duration window, long ownWanting, long now) {
        peerSendsByVm.values().removeIf(peer -> now - peer.receivedAt() >= window.toNanos());
        long windowSends = sends.count(now, window);
        long secondSends = sends.count(now, SECOND);
        long wanting = ownWanting;
        long silent = 0;
        for (Map.Entry<VmId, PeerSends> peer : peerSendsByVm.entrySet()) {
            if (included.test(peer.getKey())) {
                Sends peerSends = peer.getValue().sends();
                boolean recent = now - peer.getValue().receivedAt() < SECOND.toNanos();
                windowSends += peerSends.window();
                secondSends += recent ? peerSends.second() : 0;
                wanting += recent ? peerSends.wanting() : 0;
                silent += recent ? peerSends.silent() : peerSends.window();
            }
        }
        return new Sends(windowSends, secondSends, wanting, silent);
    }

    /**
     * The use of a limit by one or several VMs, in units of the limit.
     *
     * @param window what was sent in the window of the limit
     * @param second what was sent in the last second
     * @param wanting what the VMs want to send: the number of those with a request, or the units that they were asked for
     * @param silent the part of {@code window} by VMs that have fallen silent
     */
    record Sends(long window, long second, long wanting, long silent) {}

    private record PeerSends(Sends sends, long receivedAt) {}
}
