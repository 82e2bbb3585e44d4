package io.banyantally.internal.orders;

import io.banyantally.internal.authority.AuthorityLostException;
import io.banyantally.internal.authority.OwnedScope;
import io.banyantally.internal.peer.PeerException;
import io.banyantally.model.UpstreamId;
import io.banyantally.platform.OrderToken;
import io.banyantally.upstream.EngineTarget;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** The write-ahead log of a scope's orders: an order is sent only after its write to the scope record is confirmed. */
final class OrderJournal {

    private final OwnedScope scope;
    private final Map<UpstreamId, EngineIntent> engines = new LinkedHashMap<>();
    private Optional<UpstreamIntent> upstream;

    private OrderJournal(OwnedScope scope, OrderBook book) {
        this.scope = scope;
        this.upstream = book.upstream();
        book.engines().forEach(intent -> engines.put(intent.engine(), intent));
    }

    /** Reads the orders that earlier owners or this one have recorded. */
    static OrderJournal open(OwnedScope scope) throws AuthorityLostException {
        byte[] payload = scope.payload();
        try {
            return new OrderJournal(scope, payload.length == 0 ? OrderBook.EMPTY : OrderBook.CODEC.decode(payload));
        } catch (PeerException failure) {
            throw new AuthorityLostException(
                    "the recorded orders of scope " + scope.scope() + " cannot be decoded", failure);
        }
    }

    Set<UpstreamId> engines() {
        return Set.copyOf(engines.keySet());
    }

    Optional<EngineIntent> engine(UpstreamId id) {
        return Optional.ofNullable(engines.get(id));
    }

    Optional<UpstreamIntent> upstream() {
        return upstream;
    }

    /** Removes the intent for an engine that no longer exists; the stored record changes only with the next write. */
    void remove(UpstreamId id) {
        engines.remove(id);
    }

    /** Records one intent for each target, with a single write of the scope record. */
    List<EngineIntent> recordIntents(Map<UpstreamId, EngineTarget> targets)
            throws AuthorityLostException, InterruptedException {
        long sequence = scope.sequence();
        List<EngineIntent> intents = new ArrayList<>();
        for (Map.Entry<UpstreamId, EngineTarget> entry : targets.entrySet()) {
            sequence++;
            intents.add(new EngineIntent(entry.getKey(), entry.getValue(), scope.fencingNumber(), sequence));
        }
        intents.forEach(intent -> engines.put(intent.engine(), intent));
        write(sequence);
        return intents;
    }

    /** Records the intent to order one upstream, with a token made of scope, fencing number and sequence number. */
    UpstreamIntent recordOrder(boolean cheap, List<UpstreamId> knownBefore)
            throws AuthorityLostException, InterruptedException {
        long sequence = scope.sequence() + 1;
        OrderToken token = new OrderToken(scope.scope() + ":" + scope.fencingNumber() + ":" + sequence);
        return recordIntents(new UpstreamIntent(
                UpstreamAction.ORDER, cheap, token, scope.fencingNumber(), sequence, knownBefore, Optional.empty()));
    }

    /** Records the intent to give one upstream back. */
    UpstreamIntent recordGiveBack(boolean cheap, UpstreamId id) throws AuthorityLostException, InterruptedException {
        long sequence = scope.sequence() + 1;
        OrderToken token = new OrderToken(scope.scope() + ":" + scope.fencingNumber() + ":" + sequence);
        return recordIntents(new UpstreamIntent(
                UpstreamAction.GIVE_BACK, cheap, token, scope.fencingNumber(), sequence, List.of(), Optional.of(id)));
    }

    /** Records an earlier owner's intent under this owner's fencing number, with its token unchanged. */
    UpstreamIntent adopt(UpstreamIntent earlier) throws AuthorityLostException, InterruptedException {
        return recordIntents(new UpstreamIntent(
                earlier.action(),
                earlier.cheap(),
                earlier.token(),
                scope.fencingNumber(),
                scope.sequence() + 1,
                earlier.knownBefore(),
                earlier.upstream()));
    }

    private UpstreamIntent recordIntents(UpstreamIntent intent) throws AuthorityLostException, InterruptedException {
        upstream = Optional.of(intent);
        write(intent.sequence());
        return intent;
    }

    private void write(long sequence) throws AuthorityLostException, InterruptedException {
        scope.write(sequence, OrderBook.CODEC.encode(new OrderBook(List.copyOf(engines.values()), upstream)));
    }
}
