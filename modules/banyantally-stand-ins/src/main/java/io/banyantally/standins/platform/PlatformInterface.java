package io.banyantally.standins.platform;

import java.util.Locale;

/** The interfaces of the platform; each has its own faults and call counts. */
public enum PlatformInterface {
    /** The key-value service. */
    KEY_VALUE,
    /** Upstream ordering. */
    UPSTREAMS,
    /** Usage reports. */
    USAGE_REPORTS,
    /** The weight store. */
    WEIGHTS,
    /** The VM directory. */
    DIRECTORY;

    /** Returns the first segment of the paths of this interface. */
    public String segment() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
