package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;
import java.util.List;

/** A call to a plain service. The headers do not contain the caller's API key. */
public record ServiceCall(ExchangeId exchange, String method, String path, List<HeaderField> headers, byte[] body) {

    /** Copies headers and body. */
    public ServiceCall {
        headers = List.copyOf(headers);
        body = body.clone();
    }
}
