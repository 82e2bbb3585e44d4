package io.banyantally.internal.adapter;

import org.eclipse.jetty.http.HttpStatus;

/** Which statuses a final response may have. A response with another one states nothing about its request. */
final class FinalStatus {

    private static final int FIRST = 200;
    private static final int LAST = 599;

    private FinalStatus() {}

    static boolean isValid(int status) {
        return status >= FIRST && status <= LAST;
    }

    /** Returns the failure of a call whose response has a status that is not valid. */
    static IncompleteResponseException failure(HttpCall call, int status) {
        return new IncompleteResponseException(call + ": status " + status + " is not that of a final response");
    }

    /** Returns whether a final response follows one with this status. */
    static boolean isInterim(int status) {
        return HttpStatus.isInformational(status) && status != HttpStatus.SWITCHING_PROTOCOLS_101;
    }
}
