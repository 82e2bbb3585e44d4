package io.banyantally.internal.streams;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.model.SoftwareVersion;
import io.banyantally.platform.StoreKey;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

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

    synchronized void add(StoreKey stream, SoftwareVersion version) {
        streams.remove(stream);
        streams.put(stream, new Begun(version, clock.nanoTime()));
        if (streams.size() > MAXIMUM_STREAMS) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    synchronized void dropOld() {
        streams.values().removeIf(begun -> clock.since(begun.at()).compareTo(StreamVersions.TAKE_UP_TIME) >= 0);
    }

    private record Begun(SoftwareVersion version, long at) {}
}
