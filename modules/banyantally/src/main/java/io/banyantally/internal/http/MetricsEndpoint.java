package io.banyantally.internal.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** Returns all metrics as JSON, with durations in milliseconds and rates per second. */
final class MetricsEndpoint implements Endpoint {

    private static final int OK = 200;

    private final MetricRegistry metrics;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    MetricsEndpoint(MetricRegistry metrics) {
        this.metrics = metrics;
    }

    @Override
    public void handle(HttpExchange exchange) throws IOException {
        exchange.send(OK, "application/json", mapper.writeValueAsBytes(metrics));
    }
}
