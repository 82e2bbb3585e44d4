package io.banyantally.internal.authority;

import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.time.Sleeper;
import io.banyantally.internal.timeline.Timeline;
import java.util.Random;
import java.util.concurrent.ThreadFactory;
import java.util.random.RandomGenerator;

/**
 * Dependencies that all scope owners of one process share.
 *
 * @param threads creates one thread for each owner and each running task
 * @param random draws the jitter that keeps candidates from calling the key-value service at the same time; all owners
 *     use it in threads of their own
 */
public record AuthorityEnvironment(
        AuthoritySettings settings,
        MonotonicClock clock,
        Sleeper sleeper,
        Timeline timeline,
        ThreadFactory threads,
        RandomGenerator random) {

    /** Returns the environment of a running process. */
    public static AuthorityEnvironment system(AuthoritySettings settings, Timeline timeline) {
        return new AuthorityEnvironment(
                settings,
                MonotonicClock.SYSTEM,
                Sleeper.SYSTEM,
                timeline,
                Thread.ofVirtual().name("authority-", 0).factory(),
                new Random());
    }
}
