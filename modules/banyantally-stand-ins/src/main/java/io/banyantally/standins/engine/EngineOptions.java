package io.banyantally.standins.engine;

import io.banyantally.upstream.EngineRole;
import picocli.CommandLine.Option;

/** Settings of an engine. */
public final class EngineOptions {

    @Option(names = "--model", defaultValue = "default-model", description = "Model that it has loaded at the start.")
    String model = "default-model";

    @Option(names = "--model-version", defaultValue = "1", description = "Version of the model.")
    String version = "1";

    @Option(names = "--role", defaultValue = "MIXED", description = "Role at the start: ${COMPLETION-CANDIDATES}.")
    EngineRole role = EngineRole.MIXED;

    @Option(names = "--prefill-tokens-per-second", defaultValue = "20000", description = "Speed of prefill.")
    double prefillTokensPerSecond = 20_000;

    @Option(names = "--decode-step-millis", defaultValue = "10", description = "Time of a token with one stream.")
    double decodeStepMillis = 10;

    @Option(
            names = "--step-growth",
            defaultValue = "0.03",
            description = "Part of the step by which each further stream lengthens a token.")
    double stepGrowth = 0.03;

    @Option(names = "--batch", defaultValue = "64", description = "Streams that run at once.")
    int batch = 64;

    @Option(names = "--queue", defaultValue = "1024", description = "Streams that wait at most; more are refused.")
    int queue = 1024;

    @Option(names = "--blocks", defaultValue = "512", description = "KV cache blocks of 2000 tokens.")
    int blocks = 512;

    @Option(names = "--load-lag-millis", defaultValue = "500", description = "Age of a load report.")
    long loadLagMillis = 500;

    @Option(names = "--cache-event-lag-millis", defaultValue = "500", description = "Delay of a cache event.")
    long cacheEventLagMillis = 500;

    @Option(names = "--cache-event-loss", defaultValue = "0.02", description = "Probability that an event is lost.")
    double cacheEventLoss = 0.02;

    @Option(names = "--ignore-fencing", description = "Accept orders with an old fencing number.")
    boolean ignoreFencing;

    @Option(names = "--change-millis", defaultValue = "3000", description = "Time of a change of role or model.")
    long changeMillis = 3000;

    @Option(
            names = "--idle-timeout-millis",
            defaultValue = "2000",
            description = "Read timeout of the receiver; an order whose body comes later is not run.")
    long idleTimeoutMillis = 2000;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of the losses.")
    long seed = 1;
}
