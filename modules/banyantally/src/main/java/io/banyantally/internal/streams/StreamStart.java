package io.banyantally.internal.streams;

import io.banyantally.model.AttemptId;
import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.StoreKey;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** The beginning of one stream: its attempt is sent to upstreams, one of which brings the first event. */
public final class StreamStart {

    /** A write that has no answer by then has failed; the store's usual answer takes some milliseconds. */
    private static final Duration CONFIRMATION_TIME = Duration.ofMillis(1200);

    /** How long a first event waits for a record without which it may be passed on. */
    private static final Duration OPTIONAL_CONFIRMATION_TIME = Duration.ofMillis(50);

    private final StreamVersions versions;
    private final ServiceName service;
    private final StoreKey key;
    private Optional<SoftwareVersion> sentTo = Optional.empty();
    private Optional<SoftwareVersion> recorded = Optional.empty();
    private CompletableFuture<Boolean> confirmed = CompletableFuture.completedFuture(true);

    StreamStart(StreamVersions versions, ServiceName service, AttemptId attempt) {
        this.versions = versions;
        this.service = service;
        this.key = StreamStoreKeys.record(service, attempt);
    }

    /** Begins to record the version of an upstream to which the attempt is about to be sent, if it needs a record. */
    public void recordVersion(SoftwareVersion version) {
        sentTo = Optional.of(version);
        boolean needsRecord = recorded.isPresent() || !versions.isDefault(service, version);
        if (needsRecord && !recorded.equals(sentTo)) {
            recorded = sentTo;
            confirmed = versions.recorder().record(key, version);
        }
    }

    /**
     * Returns the version to which the attempt has to be sent if it is sent again: a write that is not confirmed may be
     * applied after the next one.
     */
    public Optional<SoftwareVersion> requiredVersion() {
        return confirmed.getNow(false) ? Optional.empty() : recorded;
    }

    /**
     * Waits until the first event may be passed on, and returns whether it may: the version is recorded or needs no
     * record, or a caller that takes the stream up is sure to get no other version.
     *
     * @param remaining the time that the request has left
     */
    public boolean awaitRecord(Duration remaining) throws InterruptedException {
        SoftwareVersion version = sentTo.orElseThrow();
        boolean isRequired = !versions.mayBeginWithoutRecord(service);
        Duration limit = isRequired ? CONFIRMATION_TIME : optionalConfirmationTime();
        boolean isConfirmed = isConfirmed(remaining.compareTo(limit) < 0 ? remaining : limit);
        if (!isConfirmed && isRequired) {
            return false;
        }
        remember(version, isConfirmed);
        return true;
    }

    private void remember(SoftwareVersion version, boolean isConfirmed) {
        StreamMemory memory = versions.memory();
        if (recorded.isEmpty()) {
            memory.add(key, version, StreamMemory.RecordState.NOT_NEEDED);
        } else if (isConfirmed) {
            memory.add(key, version, StreamMemory.RecordState.WRITTEN);
        } else {
            memory.add(key, version, StreamMemory.RecordState.MISSING);
            CompletableFuture<Void> _ = confirmed.thenAccept(written -> {
                if (written) {
                    memory.setState(key, StreamMemory.RecordState.WRITTEN);
                }
            });
        }
    }

    private Duration optionalConfirmationTime() {
        return versions.recorder().isFailing() ? Duration.ZERO : OPTIONAL_CONFIRMATION_TIME;
    }

    private boolean isConfirmed(Duration limit) throws InterruptedException {
        try {
            return confirmed.get(limit.toNanos(), TimeUnit.NANOSECONDS);
        } catch (TimeoutException unanswered) {
            return false;
        } catch (ExecutionException failure) {
            throw new IllegalStateException("a record of a stream failed", failure);
        }
    }
}
