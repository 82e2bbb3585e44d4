package io.banyantally.internal.http;

import io.banyantally.upstream.HeaderField;
import io.banyantally.upstream.ServiceAnswer;
import java.io.IOException;
import java.util.Locale;
import java.util.Set;

/** Writes the answer of a plain service to the caller. */
final class ServiceAnswerWriter {

    private static final Set<String> ALLOWED =
            Set.of("content-language", "etag", "last-modified", "location", "cache-control", "retry-after");

    private ServiceAnswerWriter() {}

    static void write(HttpExchange exchange, ServiceAnswer answer) throws IOException {
        String contentType = "application/octet-stream";
        for (HeaderField header : answer.headers()) {
            String name = header.name().toLowerCase(Locale.ROOT);
            if (name.equals("content-type")) {
                contentType = header.value();
            } else if (ALLOWED.contains(name)) {
                exchange.setHeader(header.name(), header.value());
            }
        }
        exchange.send(answer.status(), contentType, answer.body());
    }
}
