package io.banyantally.internal.placement;

import io.banyantally.model.VmId;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * The limit that one upstream has named for all VMs together, and how much of it is used.
 *
 * <p>Each VM counts its own sends and hears those of the others with their work, so that VMs with many callers use what
 * the others leave. VMs do not see at once what the others send: in each round, which lasts as long as messages take, as
 * many VMs as the limit allows draw the right to send, out of those that want to, and a VM sends a part of what is left.
 * VMs that do not hear each other use parts of the limit that add up to it.
 */
final class UpstreamLimit {

    /** The fraction of a limit that is used; the rest covers sends that VMs do not see of each other in time. */
    static final double USED_FRACTION = 0.85;

    /** The shortest window in which sends are counted. */
    static final Duration MINIMUM_WINDOW = Duration.ofSeconds(4);

    /** Sends that the window of a low limit has room for. */
    private static final double MINIMUM_SENDS = 2;

    /** The part of the limit that is used in one second at most, so that a window's sends do not come at its begin. */
    private static final double SECOND_FRACTION = 1.25;

    /** VMs that draw the right to send in a round, beyond one for each request a second. */
    private static final int ADDITIONAL_SENDERS = 1;

    /** How long a VM counts as one that wants to send after it has had a request for the upstream. */
    private static final Duration WANTING_TIME = Duration.ofSeconds(2);

    /** A peer's statement of the same limit counts as a later one only beyond the time that messages take. */
    private static final Duration REFRESH_STEP = Duration.ofMillis(200);

    private static final double NANOS_PER_SECOND = 1e9;

    /** Makes up for the rounding of a window's size, which may be a whole number. */
    private static final double ROUNDING = 1e-6;

    private final RandomGenerator random;
    private final LimitDivision division;
    private Optional<Statement> statement = Optional.empty();
    private boolean roundSender;
    private long wantedAt;
    private boolean everWanted;

    UpstreamLimit(RandomGenerator random, long now) {
        this.random = random;
        this.division = new LimitDivision(now);
    }

    /**
     * Records what an answer states. Answers overtake each other: one to a request from before the last statement can
     * neither end nor raise a limit.
     *
     * @param limit the requests a second that the upstream takes; empty if the answer names no limit
     * @param sentAt when the request was sent
     * @return whether the limit has changed
     */
    synchronized boolean recordStatement(OptionalDouble limit, long sentAt, long now) {
        OptionalDouble former = limitPerSecond();
        boolean overtaken = statement.isPresent() && sentAt - statement.get().statedAt() < 0;
        boolean lower = limit.isPresent() && former.isPresent() && limit.getAsDouble() < former.getAsDouble();
        boolean news = statement.isPresent() ? !overtaken || lower : limit.isPresent();
        if (news) {
            statement = Optional.of(new Statement(limit, now));
        }
        return news && !former.equals(limit);
    }

    /** Records what another VM was told; the latest statement holds. Returns whether the limit has changed. */
    synchronized boolean recordPeerStatement(OptionalDouble limit, Duration age, long now) {
        long statedAt = now - age.toNanos();
        boolean later = statement
                .map(own -> statedAt - own.statedAt() > (own.limit().equals(limit) ? REFRESH_STEP.toNanos() : 0))
                .orElse(true);
        OptionalDouble former = limitPerSecond();
        if (later) {
            statement = Optional.of(new Statement(limit, statedAt));
        }
        return later && !former.equals(limit);
    }

    /** Records the sends of another VM; they count until they are older than the window, also if it falls silent. */
    synchronized void recordPeerSends(VmId peer, LimitDivision.Sends peerSends, long now) {
        division.recordPeerSends(peer, peerSends, now);
    }

    /** Returns the last statement; empty if the upstream has never named a limit. */
    synchronized Optional<Statement> statement() {
        return statement;
    }

    /** Returns the limit in force, in requests a second. */
    synchronized OptionalDouble limitPerSecond() {
        return statement.map(Statement::limit).orElse(OptionalDouble.empty());
    }

    /** Counts a send of this VM and returns true, or returns false if the limit leaves none. */
    synchronized boolean tryTake(LimitSharers sharers, long now) {
        if (!hasRoom(sharers, now)) {
            return false;
        }
        division.add(1, now);
        return true;
    }

    /** Returns whether this VM may send a request now. */
    synchronized boolean hasRoom(LimitSharers sharers, long now) {
        OptionalDouble limit = limitPerSecond();
        if (limit.isEmpty()) {
            return true;
        }
        double perSecond = limit.getAsDouble();
        wantedAt = now;
        everWanted = true;
        LimitDivision.Sends known = sends(vm -> true, now);
        if (division.beginRound(sharers, now)) {
            roundSender = random.nextInt((int) known.wanting()) < senders(perSecond);
        }
        double left = windowSize(perSecond, sharers.heardPart()) - known.window();
        double secondSize = Math.max(1, SECOND_FRACTION * perSecond * sharers.heardPart());
        return roundSender
                && left >= 1 - ROUNDING
                && known.second() < secondSize
                && division.roundSends()
                        < Math.max(1, left / (2 * Math.min(senders(perSecond), (double) known.wanting())));
    }

    private static double senders(double perSecond) {
        return Math.floor(perSecond) + ADDITIONAL_SENDERS;
    }

    /** Returns the time after which the known sends should leave room for one more at the rate of the limit. */
    synchronized Duration untilRoom(LimitSharers sharers, long now) {
        OptionalDouble limit = limitPerSecond();
        if (limit.isEmpty() || hasRoom(sharers, now)) {
            return Duration.ZERO;
        }
        double perSecond = limit.getAsDouble();
        Duration window = window(perSecond);
        double excess = Math.max(1, sends(vm -> true, now).window() + 1 - windowSize(perSecond, sharers.heardPart()));
        double nanos = excess / perSecond * NANOS_PER_SECOND;
        return nanos < window.toNanos() ? Duration.ofNanos((long) nanos) : window;
    }

    /** Returns the sends of this VM and of the others that {@code included} accepts. */
    synchronized LimitDivision.Sends sends(Predicate<VmId> included, long now) {
        Duration window = window(limitPerSecond().orElse(Double.MAX_VALUE));
        int wanting = everWanted && now - wantedAt < WANTING_TIME.toNanos() ? 1 : 0;
        return division.sends(included, window, wanting, now);
    }

    /** Returns the time in which sends are counted, longer for a limit that allows less than a request in it. */
    private static Duration window(double perSecond) {
        double nanos = MINIMUM_SENDS / (USED_FRACTION * perSecond) * NANOS_PER_SECOND;
        if (nanos >= SendWindow.MAXIMUM.toNanos()) {
            return SendWindow.MAXIMUM;
        }
        return nanos <= MINIMUM_WINDOW.toNanos() ? MINIMUM_WINDOW : Duration.ofNanos((long) nanos);
    }

    /**
     * Returns how many sends a window may hold, for VMs that share {@code part} of the limit. All together may send one
     * request, as only an answer can tell that the limit has ended.
     */
    private static double windowSize(double perSecond, double part) {
        double all = Math.max(1, USED_FRACTION * perSecond * window(perSecond).toNanos() / NANOS_PER_SECOND);
        return all * part;
    }

    /** What an upstream has said of its limit; {@code limit} is empty if it names none any more. */
    record Statement(OptionalDouble limit, long statedAt) {}
}
