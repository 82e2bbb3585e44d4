package io.banyantally.internal.streams;

import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import java.util.Optional;

/**
 * The version at which the streams of a service began that no record names, as stored.
 *
 * @param version empty while every stream is recorded
 * @param former the default before that, which streams from before have
 */
record DefaultVersion(ServiceName service, Optional<SoftwareVersion> version, Optional<SoftwareVersion> former) {

    static DefaultVersion of(ServiceName service, SoftwareVersion version) {
        return new DefaultVersion(service, Optional.of(version), Optional.empty());
    }

    /** Returns the state in which every stream is recorded. */
    DefaultVersion ended() {
        return new DefaultVersion(service, Optional.empty(), version);
    }
}
