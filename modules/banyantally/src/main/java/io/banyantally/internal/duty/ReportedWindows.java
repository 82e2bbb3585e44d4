package io.banyantally.internal.duty;

import java.util.OptionalLong;

/** The newest usage window that this VM knows to be reported, by itself or by another VM. */
public final class ReportedWindows {

    private OptionalLong newest = OptionalLong.empty();

    /** Knows no reported window. */
    public ReportedWindows() {}

    /** Records a window that is or was reported. */
    public synchronized void record(long window) {
        newest = OptionalLong.of(newest.isPresent() ? Math.max(newest.getAsLong(), window) : window);
    }

    /** Returns the newest window; empty if none is known. */
    public synchronized OptionalLong newest() {
        return newest;
    }
}
