package io.banyantally.standins.measure;

import io.banyantally.model.ExchangeId;
import io.banyantally.model.Incarnation;
import io.banyantally.model.ModelName;
import io.banyantally.model.VmId;
import io.banyantally.upstream.GenerationRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

/** Creates generation requests with unique exchange ids. */
final class GenerationRequests {

    private static final VmId VM = new VmId("measure");

    private final Incarnation incarnation = Incarnation.draw();
    private final AtomicLong counter = new AtomicLong();
    private final ModelName model;

    GenerationRequests(String model) {
        this.model = new ModelName(model);
    }

    GenerationRequest next(int tokens) {
        ExchangeId exchange = new ExchangeId(VM, incarnation, counter.incrementAndGet());
        return new GenerationRequest(exchange, model, Optional.empty(), "a short prompt", tokens, 0, "", 0);
    }

    /** Parses {@code host:port} and accepts loopback addresses only. */
    static InetSocketAddress parseLoopbackAddress(String text) throws IOException {
        int colon = text.lastIndexOf(':');
        if (colon < 0 || !InetAddress.getByName(text.substring(0, colon)).isLoopbackAddress()) {
            throw new IOException("address '" + text + "' is not valid; use a loopback address such as 127.0.0.1:8080");
        }
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(text.substring(colon + 1)));
    }
}
