package io.banyantally.internal.logging;

import io.banyantally.internal.timeline.EventField;

/** Logs failures of tasks that must go on, whatever has failed. */
public final class Failures {

    private Failures() {}

    /** Logs a failure; returns also if there is no memory for the line. */
    public static void log(EventLog log, String event, Throwable failure, EventField... fields) {
        try {
            log.error(event, failure, fields);
        } catch (Error unwritable) {
            // Nothing can be logged now; the task fails and logs again if the cause remains.
        }
    }
}
