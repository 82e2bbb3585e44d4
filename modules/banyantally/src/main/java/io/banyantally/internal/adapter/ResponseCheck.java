package io.banyantally.internal.adapter;

import io.banyantally.upstream.HeaderField;
import java.util.List;
import java.util.Optional;

/** Decides from the headers of a response whether it belongs to the request that was sent. */
@FunctionalInterface
public interface ResponseCheck {

    /** Takes every response for the one to the request. */
    ResponseCheck NONE = headers -> Optional.empty();

    /** Returns in one word why a response does not belong to the request; empty if it does. */
    Optional<String> mismatch(List<HeaderField> headers);
}
