package io.banyantally.internal.streams;

import io.banyantally.model.ServiceName;
import io.banyantally.model.SoftwareVersion;
import java.util.Optional;

/**
 * The version at which the streams of a service began that no record names, as stored.
 *
 * @param version empty while every stream is recorded
 */
record DefaultVersion(ServiceName service, Optional<SoftwareVersion> version) {

    static DefaultVersion of(ServiceName service, SoftwareVersion version) {
        return new DefaultVersion(service, Optional.of(version));
    }

    static DefaultVersion none(ServiceName service) {
        return new DefaultVersion(service, Optional.empty());
    }
}
