package io.banyantally.internal.idempotency;

import io.banyantally.platform.LeaseId;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.stream.Collectors;

/** The claims of this process that are in progress or whose outcome is not stored yet, by attempt number. */
final class ClaimTable {

    private final ConcurrentMap<Long, ActiveClaim> claims = new ConcurrentHashMap<>();

    void add(ActiveClaim claim) {
        claims.put(claim.id().attempt(), claim);
    }

    Optional<ActiveClaim> find(long attempt) {
        return Optional.ofNullable(claims.get(attempt));
    }

    void remove(ActiveClaim claim) {
        claims.remove(claim.id().attempt(), claim);
    }

    /** Returns the claims whose outcome is known but not stored yet. */
    List<ActiveClaim> withUnstoredOutcome() {
        return claims.values().stream().filter(ActiveClaim::hasEnded).toList();
    }

    /** Returns the leases of the claims that are in progress. */
    Set<LeaseId> leasesInUse() {
        return claims.values().stream()
                .filter(claim -> !claim.hasEnded())
                .flatMap(claim -> claim.lease().stream())
                .collect(Collectors.toSet());
    }

    /** Returns whether a claim ended more than {@code limit} before {@code now}, a monotonic time in nanoseconds. */
    static boolean endedBefore(ActiveClaim claim, long now, Duration limit) {
        return now - claim.endedAt() > limit.toNanos();
    }
}
