package io.banyantally.upstream;

import io.banyantally.model.ExchangeId;
import java.util.List;

/** One call to a plain service. Headers hold nothing that carries a caller's key. */
public record ServiceCall(ExchangeId exchange, String method, String path, List<HeaderField> headers, byte[] body) {

    /** Copies headers and body. */
    public ServiceCall {
        headers = List.copyOf(headers);
        body = body.clone();
    }
}
