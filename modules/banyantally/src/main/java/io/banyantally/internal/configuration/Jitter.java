package io.banyantally.internal.configuration;

import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;

/** Random delays that prevent many VMs from acting at the same moment. */
final class Jitter {

    private Jitter() {}

    /** Returns a random duration between half and one and a half times {@code mean}. */
    static Duration around(Duration mean) {
        long nanos = mean.toNanos();
        return Duration.ofNanos(nanos / 2 + ThreadLocalRandom.current().nextLong(nanos + 1));
    }
}
