package io.banyantally.internal.idempotency;

import io.banyantally.internal.idempotency.ClaimWriter.StoredCall;
import io.banyantally.internal.invariant.InvariantViolationException;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.invariant.Promise;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.peer.PeerNetwork;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.EventField;
import io.banyantally.internal.timeline.EventKind;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A ledger whose call records are in the key-value service. A call is sent only by the VM whose claim is known to be
 * stored, and only once for each claim. An identity whose call did not run may be claimed again, by compare-and-swap on
 * the revision at which that outcome was read; all other records are final.
 */
public final class StoredCallLedger implements CallLedger {

    /** How often {@link #maintain()} is to be called. */
    public static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);

    /** How long the claimer retries the write of an outcome. */
    static final Duration OUTCOME_REWRITE_LIMIT = Duration.ofSeconds(60);

    /**
     * The call of a claim older than this is not sent: the process was paused, and the caller's default deadline (30 s)
     * has passed. Far below the retention time, so that the record cannot have expired before the call is sent.
     */
    static final Duration SEND_LIMIT = Duration.ofSeconds(30);

    /** Attempts to claim an identity, or to read a record that changes while its claimer is queried. */
    private static final int MAXIMUM_LOOKUPS = 3;

    private final Peer self;
    private final MonotonicClock clock;
    private final Invariants invariants;
    private final Timeline timeline;
    private final RetentionLeases leases;
    private final ClaimWriter writer;
    private final ClaimTable claims = new ClaimTable();
    private final ClaimStatusProtocol status;
    private final AtomicLong lastAttempt = new AtomicLong();

    /** Creates the ledger of one process and registers its handler for the peer topic {@code idempotency.status}. */
    public StoredCallLedger(
            KeyValueStore store,
            PeerNetwork peers,
            Peer self,
            MonotonicClock clock,
            Invariants invariants,
            Timeline timeline) {
        this.self = self;
        this.clock = clock;
        this.invariants = invariants;
        this.timeline = timeline;
        this.leases = new RetentionLeases(store, clock);
        this.writer = new ClaimWriter(store, leases);
        this.status = new ClaimStatusProtocol(peers, self, claims);
    }

    @Override
    public CallOutcome run(CallIdentity identity, String requestHash, CallSender sender) throws InterruptedException {
        StoreKey key = CallKeys.keyOf(identity);
        StoreRevision expected = StoreRevision.ABSENT;
        // Read only once: if the record expires while this process is paused, SEND_LIMIT must still reject the request.
        long startedAt = clock.nanoTime();
        for (int lookups = 0; lookups < MAXIMUM_LOOKUPS; lookups++) {
            ActiveClaim claim = new ActiveClaim(
                    key,
                    new ClaimId(self.vm(), self.incarnation(), lastAttempt.incrementAndGet()),
                    requestHash,
                    startedAt);
            claims.add(claim);
            try {
                if (writer.write(claim, expected)) {
                    return sendOnce(claim, sender);
                }
                claims.remove(claim);
            } catch (StoreException unwritten) {
                return endUnsent(claim, "the claim of the call could not be stored: " + unwritten.getMessage());
            }
            LookupResult result = lookUp(key, Optional.of(requestHash));
            if (result.claimableAt().isEmpty()) {
                return result.outcome();
            }
            expected = result.claimableAt().get();
        }
        return new CallOutcome.InProgress(AtMostOnceSender.RETRY_AFTER);
    }

    @Override
    public CallOutcome find(CallIdentity identity) throws InterruptedException {
        return lookUp(CallKeys.keyOf(identity), Optional.empty()).outcome();
    }

    private CallOutcome sendOnce(ActiveClaim claim, CallSender sender) throws InterruptedException {
        timeline.record(EventKind.CALL_CLAIMED, EventField.of("key", claim.key()));
        if (clock.since(claim.startedAt()).compareTo(SEND_LIMIT) > 0) {
            return endUnsent(claim, "the VM was paused for too long between the claim and the call");
        }
        CallOutcome outcome = new CallOutcome.Unknown("the call was interrupted before its outcome was known");
        try {
            invariants.require(
                    Promise.AT_MOST_ONCE,
                    claim.revision().isPresent() && claim.markSent(),
                    () -> "call " + claim.key() + " of attempt " + claim.id().attempt()
                            + " would be sent without a stored claim or a second time");
            outcome = AtMostOnceSender.send(sender);
        } catch (InvariantViolationException violated) {
            return endUnsent(claim, violated.getMessage());
        } finally {
            if (!claim.hasEnded()) {
                endWith(claim, outcome);
            }
        }
        return outcome;
    }

    /** Ends a claim as not run; its call was not sent and never will be. */
    private CallOutcome endUnsent(ActiveClaim claim, String reason) {
        try {
            invariants.require(
                    Promise.TRUE_NOT_RUN,
                    !claim.wasSent(),
                    () -> "call " + claim.key() + " was sent and must not be reported as not run");
        } catch (InvariantViolationException violated) {
            return endWith(claim, new CallOutcome.Unknown(violated.getMessage()));
        }
        return endWith(claim, new CallOutcome.NotRun(reason, AtMostOnceSender.RETRY_AFTER));
    }

    private CallOutcome endWith(ActiveClaim claim, CallOutcome outcome) {
        CallRecord claimed = claim.latest();
        CallRecord ended = switch (outcome) {
            case CallOutcome.Ran ran -> claimed.withAnswer(ran.answer());
            case CallOutcome.NotRun notRun -> claimed.withoutAnswer(CallState.NOT_RUN, notRun.reason());
            case CallOutcome.Unknown unknown -> claimed.withoutAnswer(CallState.UNKNOWN, unknown.reason());
            default -> throw new IllegalStateException("a claim must end as Ran, NotRun or Unknown, not as " + outcome);
        };
        claim.end(ended, clock.nanoTime());
        timeline.record(
                ended.state() == CallState.UNKNOWN ? EventKind.CALL_UNKNOWN : EventKind.CALL_FINISHED,
                EventField.of("key", claim.key()),
                EventField.of("state", ended.state()));
        storeOutcome(claim);
        return outcome;
    }

    private void storeOutcome(ActiveClaim claim) {
        try {
            if (writer.writeOutcome(claim)) {
                claims.remove(claim);
            }
        } catch (StoreException unwritten) {
            timeline.record(
                    EventKind.CALL_FINISHED,
                    EventField.of("key", claim.key()),
                    EventField.of("unwritten", unwritten.getMessage()));
        }
    }

    /**
     * Retries the writes of outcomes that are not stored yet, and renews the leases of calls in progress so that their
     * records do not expire. Call it every {@link #MAINTENANCE_INTERVAL} from a single task.
     */
    public void maintain() {
        for (ActiveClaim claim : claims.withUnstoredOutcome()) {
            if (ClaimTable.endedBefore(claim, clock.nanoTime(), OUTCOME_REWRITE_LIMIT)) {
                claims.remove(claim);
            } else {
                storeOutcome(claim);
            }
        }
        try {
            leases.renewLeasesInUse(claims.leasesInUse());
        } catch (StoreException unrenewed) {
            timeline.record(EventKind.CALL_UNKNOWN, EventField.of("unrenewed", unrenewed.getMessage()));
        }
    }

    private LookupResult lookUp(StoreKey key, Optional<String> requestHash) {
        Optional<StoredCall> previous = Optional.empty();
        for (int lookups = 0; lookups < MAXIMUM_LOOKUPS; lookups++) {
            Optional<StoredCall> stored;
            try {
                stored = writer.read(key);
            } catch (StoreException unreadable) {
                return LookupResult.notClaimable(new CallOutcome.Unknown(
                        "the record of the call could not be read; query it again: " + unreadable.getMessage()));
            }
            if (stored.isEmpty()) {
                return LookupResult.claimable(new CallOutcome.NotFound(), StoreRevision.ABSENT);
            }
            CallRecord call = stored.get().call();
            if (requestHash.isPresent() && !requestHash.get().equals(call.requestHash())) {
                return LookupResult.notClaimable(new CallOutcome.IdentityReused());
            }
            if (call.state() != CallState.CLAIMED) {
                return lookupResultOf(call, stored.get().revision());
            }
            Optional<CallRecord> latest = status.query(ClaimId.of(call));
            if (latest.isPresent()) {
                return lookupResultOf(latest.get(), stored.get().revision());
            }
            // The claimer drops a claim once its outcome is stored, so the record is read again before giving up.
            if (stored.map(StoredCall::revision).equals(previous.map(StoredCall::revision))) {
                break;
            }
            previous = stored;
        }
        return LookupResult.notClaimable(
                new CallOutcome.Unknown("the VM that claimed the call does not answer; query the outcome again later"));
    }

    private static LookupResult lookupResultOf(CallRecord call, StoreRevision revision) {
        return switch (call.state()) {
            case CLAIMED -> LookupResult.notClaimable(new CallOutcome.InProgress(AtMostOnceSender.RETRY_AFTER));
            case RAN -> LookupResult.notClaimable(new CallOutcome.Ran(call.answer(), call.bodyKept()));
            case NOT_RUN ->
                LookupResult.claimable(new CallOutcome.NotRun(call.reason(), AtMostOnceSender.RETRY_AFTER), revision);
            case UNKNOWN -> LookupResult.notClaimable(new CallOutcome.Unknown(call.reason()));
        };
    }

    /** The known outcome of a call, and the revision at which its identity may be claimed; empty if it may not. */
    private record LookupResult(CallOutcome outcome, Optional<StoreRevision> claimableAt) {

        static LookupResult notClaimable(CallOutcome outcome) {
            return new LookupResult(outcome, Optional.empty());
        }

        static LookupResult claimable(CallOutcome outcome, StoreRevision revision) {
            return new LookupResult(outcome, Optional.of(revision));
        }
    }
}
