package io.banyantally.deployment;

import java.util.OptionalInt;

/**
 * The load that an upstream reports in the headers of a response, in requests.
 *
 * @param workTimePercent how long work takes at the upstream at this moment, in percent of the usual time; empty if the
 *     upstream does not report it
 */
public record ReportedLoad(int running, int waiting, int slots, OptionalInt workTimePercent) {

    /** Creates the load of an upstream that does not report how long work takes. */
    public ReportedLoad(int running, int waiting, int slots) {
        this(running, waiting, slots, OptionalInt.empty());
    }
}
