package io.banyantally.internal.forwarding;

import io.banyantally.upstream.HeaderField;
import java.util.List;

/** How one send to an upstream ended. */
sealed interface SendOutcome {

    /** Returns one word for logs and metrics. */
    String reason();

    /** The upstream's own whole answer. */
    record Answered(int status, List<HeaderField> headers, byte[] body, String reason) implements SendOutcome {}

    /** The answer was passed on to the caller while it came, to its end. */
    record Delivered(String reason) implements SendOutcome {}

    /** The request has certainly not run. */
    record NotRun(String reason) implements SendOutcome {}

    /** The request may have run, and no whole answer came. */
    record Unknown(String reason) implements SendOutcome {}

    /** The caller has left. */
    record CallerGone(String reason) implements SendOutcome {}
}
