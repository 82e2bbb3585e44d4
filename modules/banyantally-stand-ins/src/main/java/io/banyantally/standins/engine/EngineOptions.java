package io.banyantally.standins.engine;

import io.banyantally.upstream.EngineRole;
import picocli.CommandLine.Option;

/** Command-line options of an engine stand-in. */
public final class EngineOptions {

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_MICRO = 1e3;

    @Option(names = "--model", defaultValue = "default-model", description = "Model loaded at the start.")
    String model = "default-model";

    @Option(names = "--model-version", defaultValue = "1", description = "Version of the model.")
    String version = "1";

    @Option(names = "--role", defaultValue = "MIXED", description = "Role at the start: ${COMPLETION-CANDIDATES}.")
    EngineRole role = EngineRole.MIXED;

    @Option(
            names = "--prefill-tokens-per-second",
            defaultValue = "20000",
            description = "Prompt tokens computed in a second.")
    double prefillTokensPerSecond = 20_000;

    @Option(
            names = "--decode-base-millis",
            defaultValue = "8",
            description = "Fixed part of the duration of a decode step.")
    double decodeBaseMillis = 8;

    @Option(
            names = "--decode-per-stream-micros",
            defaultValue = "300",
            description = "Duration that each stream in the batch adds to a step.")
    double decodePerStreamMicros = 300;

    @Option(
            names = "--prefill-chunk",
            defaultValue = "256",
            description = "Prompt tokens in a step while streams decode.")
    int prefillChunk = 256;

    @Option(
            names = "--transfer-tokens-per-second",
            defaultValue = "80000",
            description = "KV cache tokens copied in a second.")
    double transferTokensPerSecond = 80_000;

    @Option(names = "--batch", defaultValue = "96", description = "Streams that decode at once.")
    int batch = 96;

    @Option(names = "--queue", defaultValue = "1024", description = "Maximum of waiting streams; more are refused.")
    int queue = 1024;

    @Option(names = "--blocks", defaultValue = "400", description = "KV cache blocks of 2000 tokens.")
    int blocks = 400;

    @Option(names = "--load-lag-millis", defaultValue = "500", description = "Age of a load report.")
    long loadLagMillis = 500;

    @Option(names = "--cache-event-lag-millis", defaultValue = "800", description = "Delay of a cache event.")
    long cacheEventLagMillis = 800;

    @Option(
            names = "--cache-event-gap-every",
            defaultValue = "17",
            description = "Every n-th cache event is lost; 0 loses none.")
    int cacheEventGapEvery = 17;

    @Option(names = "--ignore-fencing", description = "Accept orders with an old fencing number.")
    boolean ignoreFencing;

    @Option(names = "--change-millis", defaultValue = "3000", description = "Duration of a change of role or model.")
    long changeMillis = 3000;

    @Option(
            names = "--idle-timeout-millis",
            defaultValue = "2000",
            description = "Read timeout of the server; an order whose body arrives later is not run.")
    long idleTimeoutMillis = 2000;

    EngineCosts costs() {
        return new EngineCosts(
                prefillTokensPerSecond,
                Math.max(1, Math.round(decodeBaseMillis * NANOS_PER_MILLI)),
                Math.round(decodePerStreamMicros * NANOS_PER_MICRO),
                prefillChunk,
                batch,
                blocks,
                transferTokensPerSecond,
                Math.round(changeMillis * NANOS_PER_MILLI),
                Math.round(loadLagMillis * NANOS_PER_MILLI),
                Math.round(cacheEventLagMillis * NANOS_PER_MILLI),
                cacheEventGapEvery);
    }
}
