package io.banyantally.standins.platform;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs the platform stand-in. */
@Command(name = "platform", mixinStandardHelpOptions = true, description = "Runs the platform stand-in.")
public final class PlatformCommand implements Callable<Integer> {

    @Option(names = "--port", defaultValue = "0", description = "Port on 127.0.0.1; 0 for any free one.")
    private int port;

    @Option(
            names = "--directory-lag-millis",
            defaultValue = "1000",
            description = "How long a change of the VM directory stays invisible.")
    private long directoryLagMillis;

    @Option(names = "--weight-reads-per-second", defaultValue = "5", description = "Rate limit of the weight store.")
    private double weightReadsPerSecond;

    @Mixin
    private OrderingOptions ordering;

    @Override
    public Integer call() throws Exception {
        try (PlatformStandIn platform =
                PlatformStandIn.start(port, ordering, weightReadsPerSecond, directoryLagMillis)) {
            platform.server().announce();
            platform.server().awaitStop();
        }
        return 0;
    }
}
