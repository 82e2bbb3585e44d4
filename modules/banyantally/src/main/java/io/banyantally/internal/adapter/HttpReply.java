package io.banyantally.internal.adapter;

import io.banyantally.upstream.HeaderField;
import java.util.List;
import java.util.Optional;

/** A complete HTTP response. */
public record HttpReply(int status, List<HeaderField> headers, byte[] body) {

    /** Returns whether the status is 200. */
    public boolean isOk() {
        return status == 200;
    }

    /** Returns the first value of a header, whose name is compared without case. */
    public Optional<String> header(String name) {
        return header(headers, name);
    }

    /** Returns the first value of a header, whose name is compared without case. */
    public static Optional<String> header(List<HeaderField> headers, String name) {
        return headers.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }
}
