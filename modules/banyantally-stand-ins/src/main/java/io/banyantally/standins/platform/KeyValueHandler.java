package io.banyantally.standins.platform;

import io.banyantally.internal.adapter.StoreOutcome;
import io.banyantally.internal.adapter.StoreReply;
import io.banyantally.internal.adapter.StoreRequest;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.VersionedValue;
import io.banyantally.standins.BadRequestException;
import io.banyantally.standins.StandInExchange;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

/** Serves the key-value store from memory. */
final class KeyValueHandler {

    private final InMemoryKeyValueStore store = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);

    Answer handle(StandInExchange exchange) throws IOException {
        StoreRequest request = exchange.body(StoreRequest.class);
        String operation = exchange.path().substring(StoreRequest.PATH.length());
        try {
            return Answer.of(run(operation, request));
        } catch (RevisionConflictException conflict) {
            return Answer.of(StoreReply.refused(
                    StoreOutcome.CONFLICT, conflict.currentRevision().value()));
        } catch (LeaseLapsedException lapsed) {
            return Answer.of(StoreReply.refused(StoreOutcome.LEASE_LAPSED, 0));
        } catch (StoreException refused) {
            return Answer.of(StoreReply.refused(StoreOutcome.REFUSED, 0));
        }
    }

    private StoreReply run(String operation, StoreRequest request) throws StoreException, BadRequestException {
        return switch (operation) {
            case "get" -> valueReply(store.get(new StoreKey(request.key())), false);
            case "compare-and-swap" -> compareAndSwap(request);
            case "grant" ->
                StoreReply.done(
                        0,
                        Optional.empty(),
                        false,
                        store.grantLease(Duration.ofMillis(request.millis())).value());
            case "renew" -> {
                store.renewLease(lease(request));
                yield StoreReply.done(0, Optional.empty(), false, 0);
            }
            case "revoke" -> {
                store.revokeLease(lease(request));
                yield StoreReply.done(0, Optional.empty(), false, 0);
            }
            case "watch" -> watch(request);
            default ->
                throw new BadRequestException("operation '" + operation
                        + "' is unknown; use get, compare-and-swap, grant, renew, revoke or watch");
        };
    }

    private StoreReply compareAndSwap(StoreRequest request) throws StoreException {
        StoreKey key = new StoreKey(request.key());
        StoreRevision expected = new StoreRevision(request.revision());
        StoreRevision written = request.lease().isPresent()
                ? store.compareAndSwap(
                        key,
                        expected,
                        request.value(),
                        new LeaseId(request.lease().get()))
                : store.compareAndSwap(key, expected, request.value());
        return StoreReply.done(written.value(), Optional.empty(), true, 0);
    }

    private StoreReply watch(StoreRequest request) throws StoreException {
        ChangeNotice notice = store.awaitChange(
                new StoreKey(request.key()),
                new StoreRevision(request.revision()),
                Duration.ofMillis(request.millis()));
        return valueReply(notice.value(), notice.changed());
    }

    private static StoreReply valueReply(Optional<VersionedValue> value, boolean changed) {
        return StoreReply.done(
                value.map(present -> present.revision().value()).orElse(0L),
                value.map(VersionedValue::value),
                changed,
                0);
    }

    private static LeaseId lease(StoreRequest request) throws BadRequestException {
        return new LeaseId(request.lease().orElseThrow(() -> new BadRequestException("field 'lease' is missing")));
    }
}
