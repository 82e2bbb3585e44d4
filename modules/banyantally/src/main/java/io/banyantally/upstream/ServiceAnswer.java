package io.banyantally.upstream;

import java.util.List;

/** The complete answer of a plain service. */
public record ServiceAnswer(int status, List<HeaderField> headers, byte[] body) {

    /** Copies headers and body. */
    public ServiceAnswer {
        headers = List.copyOf(headers);
        body = body.clone();
    }
}
