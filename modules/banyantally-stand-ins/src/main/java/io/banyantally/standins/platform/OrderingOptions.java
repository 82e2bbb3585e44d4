package io.banyantally.standins.platform;

import picocli.CommandLine.Option;

/** Command-line options of the upstream ordering. */
public final class OrderingOptions {

    @Option(
            names = "--ignore-fencing",
            description = "Accept orders with an old fencing number and report them as violations.")
    boolean ignoreFencing;

    @Option(names = "--ignore-tokens", description = "Order again when a token is repeated.")
    boolean ignoreTokens;

    @Option(
            names = "--start-delay-millis",
            defaultValue = "5000",
            description = "Delay from an order until the upstream runs.")
    long startDelayMillis = 5000;

    @Option(names = "--price", defaultValue = "4.0", description = "Price of a regular upstream per hour.")
    double price = 4.0;

    @Option(names = "--cheap-price", defaultValue = "1.2", description = "Price of a cheap upstream per hour.")
    double cheapPrice = 1.2;

    /** Makes the interface accept old fencing numbers, for tests. */
    public OrderingOptions ignoringFencing() {
        ignoreFencing = true;
        return this;
    }
}
