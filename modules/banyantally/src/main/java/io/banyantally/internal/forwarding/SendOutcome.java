package io.banyantally.internal.forwarding;

import io.banyantally.upstream.HeaderField;
import java.util.List;

/** The outcome of sending a request to one upstream. */
sealed interface SendOutcome {

    /** Returns one word for logs and metrics. */
    String reason();

    /** The upstream sent a complete response, which has not been forwarded yet. */
    record CompleteResponse(int status, List<HeaderField> headers, byte[] body, String reason) implements SendOutcome {}

    /** The response was streamed to the caller to its end. */
    record Delivered(String reason) implements SendOutcome {}

    /** The request has certainly not run. */
    record NotRun(String reason) implements SendOutcome {}

    /**
     * The request may have run, and no complete response arrived.
     *
     * @param staleConnection whether a kept connection had the response to another request, so that the upstream may
     *     serve the request on a new one
     */
    record Unknown(String reason, boolean staleConnection) implements SendOutcome {

        Unknown(String reason) {
            this(reason, false);
        }
    }

    record CallerDisconnected(String reason) implements SendOutcome {}
}
