package io.banyantally.internal.streams;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.StoreKey;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** The versions of the streams that have brought events through this VM, for as long as they may be taken up. */
final class StreamMemory {

    /** The streams that a VM begins in that time, several times over. */
    private static final int MAXIMUM_STREAMS = 50_000;

    private final MonotonicClock clock;
    private final Map<StoreKey, Begun> streams = new LinkedHashMap<>();

    StreamMemory(MonotonicClock clock) {
        this.clock = clock;
    }

    synchronized Optional<SoftwareVersion> version(StoreKey stream) {
        return Optional.ofNullable(streams.get(stream)).map(Begun::version);
    }

    /** Adds a stream. */
    synchronized void add(StoreKey stream, SoftwareVersion version, RecordState state) {
        streams.remove(stream);
        streams.put(stream, new Begun(version, state, clock.nanoTime()));
        if (streams.size() > MAXIMUM_STREAMS) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    synchronized void dropOld() {
        streams.values().removeIf(begun -> clock.since(begun.at()).compareTo(StreamVersions.TAKE_UP_TIME) >= 0);
    }

    /** Sets the state of a stream's record, unless the stream is forgotten. */
    synchronized void setState(StoreKey stream, RecordState state) {
        streams.computeIfPresent(stream, (key, begun) -> new Begun(begun.version(), state, begun.at()));
    }

    /** Makes the records missing that the store may have lost. */
    synchronized void loseRecords() {
        streams.replaceAll((stream, begun) -> begun.state() == RecordState.NOT_NEEDED
                ? begun
                : new Begun(begun.version(), RecordState.MISSING, begun.at()));
    }

    /** Returns the oldest streams whose record is missing, with their versions, and marks their records as written. */
    synchronized Map<StoreKey, SoftwareVersion> takeMissing(int limit) {
        Map<StoreKey, SoftwareVersion> missing = streams.entrySet().stream()
                .filter(stream -> stream.getValue().state() == RecordState.MISSING)
                .limit(limit)
                .collect(Collectors.toMap(
                        Map.Entry::getKey, stream -> stream.getValue().version()));
        missing.keySet().forEach(stream -> setState(stream, RecordState.WRITTEN));
        return missing;
    }

    /** What the store has of a stream. */
    enum RecordState {
        NOT_NEEDED,
        MISSING,
        WRITTEN
    }

    private record Begun(SoftwareVersion version, RecordState state, long at) {}
}
