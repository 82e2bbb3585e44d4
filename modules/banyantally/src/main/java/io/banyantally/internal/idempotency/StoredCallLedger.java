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
 * Keeps calls in the key-value service. A call is sent only by the VM whose claim is known to be stored, and only once for
 * each claim. Claims that ended as certainly not run may be claimed again, by compare-and-swap on the revision at which the
 * ended claim was read; every other record is final.
 */
public final class StoredCallLedger implements CallLedger {

    /** How often {@link #maintain()} is to be called. */
    public static final Duration MAINTENANCE_INTERVAL = Duration.ofMillis(500);

    /** How long the claimer repeats the write of an outcome. */
    static final Duration OUTCOME_REWRITE_LIMIT = Duration.ofSeconds(60);

    /**
     * A claim older than this is not sent any more: the process was paused, and its caller is past the default deadline of
     * 30 s. Far below the retention time, so that the record cannot have lapsed before the call is sent.
     */
    static final Duration SEND_LIMIT = Duration.ofSeconds(30);

    /** How often a record is looked at again when it changed while its claimer was asked. */
    private static final int MAXIMUM_LOOKS = 3;

    private final Peer self;
    private final MonotonicClock clock;
    private final Invariants invariants;
    private final Timeline timeline;
    private final RetentionLeases leases;
    private final ClaimWriter writer;
    private final ClaimTable claims = new ClaimTable();
    private final ClaimStatus status;
    private final AtomicLong lastAttempt = new AtomicLong();

    /** Creates the ledger of one process and handles the topic {@code idempotency.status}. */
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
        this.status = new ClaimStatus(peers, self, claims);
    }

    @Override
    public CallOutcome run(CallIdentity identity, String requestHash, CallSender sender) throws InterruptedException {
        StoreKey key = CallKeys.keyOf(identity);
        StoreRevision expected = StoreRevision.ABSENT;
        // Read once: a record that lapsed while this process was paused must not make its old request a new one.
        long startedAt = clock.nanoTime();
        for (int looks = 0; looks < MAXIMUM_LOOKS; looks++) {
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
                return abandon(claim, "the claim could not be written: " + unwritten.getMessage());
            }
            Found found = look(key, Optional.of(requestHash));
            if (found.claimableAt().isEmpty()) {
                return found.outcome();
            }
            expected = found.claimableAt().get();
        }
        return new CallOutcome.InProgress(SingleSend.RETRY_AFTER);
    }

    @Override
    public CallOutcome find(CallIdentity identity) throws InterruptedException {
        return look(CallKeys.keyOf(identity), Optional.empty()).outcome();
    }

    private CallOutcome sendOnce(ActiveClaim claim, CallSender sender) throws InterruptedException {
        timeline.record(EventKind.CALL_CLAIMED, EventField.of("key", claim.key()));
        if (clock.since(claim.startedAt()).compareTo(SEND_LIMIT) > 0) {
            return abandon(claim, "this process was paused between the claim and the call");
        }
        CallOutcome outcome = new CallOutcome.Unknown("the call was interrupted");
        try {
            invariants.require(
                    Promise.AT_MOST_ONCE,
                    claim.revision().isPresent() && claim.markSent(),
                    () -> "call " + claim.key() + " of attempt " + claim.id().attempt() + " must not be sent");
            outcome = SingleSend.send(sender);
        } catch (InvariantViolationException violated) {
            return abandon(claim, violated.getMessage());
        } finally {
            if (!claim.hasEnded()) {
                finish(claim, outcome);
            }
        }
        return outcome;
    }

    /** Ends a claim whose call was not sent; it never will be. */
    private CallOutcome abandon(ActiveClaim claim, String reason) {
        try {
            invariants.require(
                    Promise.TRUE_NOT_RUN,
                    !claim.wasSent(),
                    () -> "call " + claim.key() + " was sent and must not be called not run");
        } catch (InvariantViolationException violated) {
            return finish(claim, new CallOutcome.Unknown(violated.getMessage()));
        }
        return finish(claim, new CallOutcome.NotRun(reason, SingleSend.RETRY_AFTER));
    }

    private CallOutcome finish(ActiveClaim claim, CallOutcome outcome) {
        CallRecord claimed = claim.latest();
        CallRecord ended = switch (outcome) {
            case CallOutcome.Ran ran -> claimed.ran(ran.answer());
            case CallOutcome.NotRun notRun -> claimed.endedAs(CallState.NOT_RUN, notRun.reason());
            case CallOutcome.Unknown unknown -> claimed.endedAs(CallState.UNKNOWN, unknown.reason());
            default -> throw new IllegalStateException("a claim cannot end as " + outcome);
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
     * Repeats the writes of outcomes that are not stored yet, and keeps the records of calls in progress from lapsing. Call
     * it every {@link #MAINTENANCE_INTERVAL} from one task.
     */
    public void maintain() {
        for (ActiveClaim claim : claims.ended()) {
            if (ClaimTable.endedBefore(claim, clock.nanoTime(), OUTCOME_REWRITE_LIMIT)) {
                claims.remove(claim);
            } else {
                storeOutcome(claim);
            }
        }
        try {
            leases.renewInUse(claims.leasesInUse());
        } catch (StoreException unrenewed) {
            timeline.record(EventKind.CALL_UNKNOWN, EventField.of("unrenewed", unrenewed.getMessage()));
        }
    }

    private Found look(StoreKey key, Optional<String> requestHash) {
        Optional<StoredCall> previous = Optional.empty();
        for (int looks = 0; looks < MAXIMUM_LOOKS; looks++) {
            Optional<StoredCall> stored;
            try {
                stored = writer.read(key);
            } catch (StoreException unreadable) {
                return Found.known(new CallOutcome.Unknown(
                        "the record of the call could not be read; ask again: " + unreadable.getMessage()));
            }
            if (stored.isEmpty()) {
                return Found.claimable(new CallOutcome.NotFound(), StoreRevision.ABSENT);
            }
            CallRecord call = stored.get().call();
            if (requestHash.isPresent() && !requestHash.get().equals(call.requestHash())) {
                return Found.known(new CallOutcome.IdentityReused());
            }
            if (call.state() != CallState.CLAIMED) {
                return describe(call, stored.get().revision());
            }
            Optional<CallRecord> latest = status.ask(ClaimId.of(call));
            if (latest.isPresent()) {
                return describe(latest.get(), stored.get().revision());
            }
            // The claimer forgets a claim once its outcome is stored, so an unchanged record is read a second time.
            if (stored.map(StoredCall::revision).equals(previous.map(StoredCall::revision))) {
                break;
            }
            previous = stored;
        }
        return Found.known(new CallOutcome.Unknown("the VM that sent the call is gone; ask again later"));
    }

    private static Found describe(CallRecord call, StoreRevision revision) {
        return switch (call.state()) {
            case CLAIMED -> Found.known(new CallOutcome.InProgress(SingleSend.RETRY_AFTER));
            case RAN -> Found.known(new CallOutcome.Ran(call.answer(), call.bodyKept()));
            case NOT_RUN -> Found.claimable(new CallOutcome.NotRun(call.reason(), SingleSend.RETRY_AFTER), revision);
            case UNKNOWN -> Found.known(new CallOutcome.Unknown(call.reason()));
        };
    }

    /** What is known of a call, and the revision at which its identity may be claimed, if it may. */
    private record Found(CallOutcome outcome, Optional<StoreRevision> claimableAt) {

        static Found known(CallOutcome outcome) {
            return new Found(outcome, Optional.empty());
        }

        static Found claimable(CallOutcome outcome, StoreRevision revision) {
            return new Found(outcome, Optional.of(revision));
        }
    }
}
