package io.banyantally.internal.http;

import io.banyantally.upstream.HeaderField;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.eclipse.jetty.server.Request;

/**
 * Selects the request headers that are forwarded to a plain service. Only headers on the allowlist pass, so that no key
 * can reach an upstream in an unexpected header.
 */
final class ForwardedHeaders {

    private static final Set<String> ALLOWED = Set.of(
            "accept",
            "accept-language",
            "content-type",
            "content-language",
            "if-match",
            "if-none-match",
            "if-modified-since",
            "if-unmodified-since",
            "idempotency-key",
            "user-agent");

    private ForwardedHeaders() {}

    static List<HeaderField> of(Request request, KeyExposure exposure) {
        return request.getHeaders().stream()
                .filter(field -> ALLOWED.contains(field.getName().toLowerCase(Locale.ROOT)))
                .filter(field -> field.getValue() != null && !exposure.isExposed(field.getValue()))
                .map(field -> new HeaderField(field.getName(), field.getValue()))
                .toList();
    }
}
