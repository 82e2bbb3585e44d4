package io.banyantally.internal.adapter;

import io.banyantally.platform.ChangeNotice;
import io.banyantally.platform.KeyValueStore;
import io.banyantally.platform.LeaseId;
import io.banyantally.platform.LeaseLapsedException;
import io.banyantally.platform.OutcomeUnknownException;
import io.banyantally.platform.RevisionConflictException;
import io.banyantally.platform.StoreException;
import io.banyantally.platform.StoreKey;
import io.banyantally.platform.StoreRevision;
import io.banyantally.platform.StoreUnavailableException;
import io.banyantally.platform.VersionedValue;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;

/** Client of the key-value service over HTTP. Reads share pooled connections; each write opens its own connection. */
public final class HttpKeyValueStore implements KeyValueStore {

    private static final Duration TIME_LIMIT = Duration.ofMillis(500);

    /** A value of the maximum size in base 64, and 4 KiB for the other fields. */
    private static final int MAXIMUM_RESPONSE_BYTES = MAXIMUM_VALUE_BYTES / 3 * 4 + 4096;

    private static final int SERVICE_UNAVAILABLE = 503;

    private final AdapterHttpClient client;
    private final InetSocketAddress address;
    private final Duration timeLimit;

    /** Creates a client of the service at {@code address}. */
    public HttpKeyValueStore(AdapterHttpClient client, InetSocketAddress address) {
        this(client, address, TIME_LIMIT);
    }

    /**
     * Creates a client with a time limit that differs from docs/design.md, section 4.14. A process that has just
     * started may need longer for its first request on a busy machine.
     */
    public HttpKeyValueStore(AdapterHttpClient client, InetSocketAddress address, Duration timeLimit) {
        this.client = client;
        this.address = address;
        this.timeLimit = timeLimit;
    }

    @Override
    public Optional<VersionedValue> get(StoreKey key) throws StoreException {
        return value(read("get", StoreRequest.ofKey(key.path()), timeLimit));
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value) throws StoreException {
        return compareAndSwap(key, expected, value, Optional.empty());
    }

    @Override
    public StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, LeaseId lease)
            throws StoreException {
        return compareAndSwap(key, expected, value, Optional.of(lease.value()));
    }

    private StoreRevision compareAndSwap(StoreKey key, StoreRevision expected, byte[] value, Optional<Long> lease)
            throws StoreException {
        if (value.length > MAXIMUM_VALUE_BYTES) {
            throw new StoreUnavailableException("value of key " + key + " has " + value.length + " bytes; at most "
                    + MAXIMUM_VALUE_BYTES + " are allowed");
        }
        StoreReply reply =
                write("compare-and-swap", new StoreRequest(key.path(), expected.value(), value.clone(), lease, 0));
        return switch (reply.outcome()) {
            case DONE -> new StoreRevision(reply.revision());
            case CONFLICT -> throw new RevisionConflictException(key, expected, new StoreRevision(reply.revision()));
            case LEASE_LAPSED, REFUSED -> throw refusal(reply, "write to key " + key);
        };
    }

    @Override
    public LeaseId grantLease(Duration timeToLive) throws StoreException {
        StoreReply reply =
                write("grant", new StoreRequest("", 0, new byte[0], Optional.empty(), timeToLive.toMillis()));
        if (reply.outcome() != StoreOutcome.DONE) {
            throw refusal(reply, "grant of a lease");
        }
        return new LeaseId(reply.number());
    }

    @Override
    public void renewLease(LeaseId lease) throws StoreException {
        StoreReply reply = write("renew", StoreRequest.ofLease(lease.value()));
        if (reply.outcome() != StoreOutcome.DONE) {
            throw refusal(reply, "renewal of lease " + lease);
        }
    }

    @Override
    public void revokeLease(LeaseId lease) throws StoreException {
        StoreReply reply = write("revoke", StoreRequest.ofLease(lease.value()));
        if (reply.outcome() != StoreOutcome.DONE) {
            throw refusal(reply, "revocation of lease " + lease);
        }
    }

    @Override
    public ChangeNotice awaitChange(StoreKey key, StoreRevision known, Duration timeout) throws StoreException {
        StoreRequest request =
                new StoreRequest(key.path(), known.value(), new byte[0], Optional.empty(), timeout.toMillis());
        StoreReply reply = read("watch", request, timeout.plus(timeLimit));
        return new ChangeNotice(reply.changed(), value(reply));
    }

    private static Optional<VersionedValue> value(StoreReply reply) {
        return reply.value().map(bytes -> new VersionedValue(bytes, new StoreRevision(reply.revision())));
    }

    private static StoreException refusal(StoreReply reply, String what) {
        return reply.outcome() == StoreOutcome.LEASE_LAPSED
                ? new LeaseLapsedException(what + " was refused: the lease no longer exists")
                : new StoreUnavailableException(what + " was refused: " + reply.outcome());
    }

    private StoreReply read(String operation, StoreRequest request, Duration timeLimit) throws StoreException {
        HttpCall call = HttpCall.query(address, StoreRequest.PATH + operation, request, timeLimit);
        try {
            HttpReply reply = client.send(call, MAXIMUM_RESPONSE_BYTES);
            if (!reply.isOk()) {
                throw new StoreUnavailableException(call + ": status " + reply.status());
            }
            StoreReply decoded = WireFormat.decode(reply.body(), StoreReply.class);
            if (decoded.outcome() != StoreOutcome.DONE) {
                throw new StoreUnavailableException(call + ": " + decoded.outcome());
            }
            return decoded;
        } catch (ExchangeException | IOException failure) {
            throw new StoreUnavailableException(call + " failed", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new StoreUnavailableException(call + " was interrupted", interrupted);
        }
    }

    private StoreReply write(String operation, StoreRequest request) throws StoreException {
        HttpCall call = HttpCall.write(address, StoreRequest.PATH + operation, request, timeLimit);
        try {
            HttpReply reply = client.send(call, MAXIMUM_RESPONSE_BYTES);
            if (reply.status() == SERVICE_UNAVAILABLE) {
                throw new StoreUnavailableException(call + ": refused with status " + reply.status());
            }
            if (!reply.isOk()) {
                throw new OutcomeUnknownException(call + ": status " + reply.status());
            }
            return WireFormat.decode(reply.body(), StoreReply.class);
        } catch (NothingSentException failure) {
            throw new StoreUnavailableException(call + " was not sent", failure);
        } catch (ExchangeException | IOException failure) {
            throw new OutcomeUnknownException(call + " got no valid response", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new OutcomeUnknownException(call + " was interrupted", interrupted);
        }
    }
}
