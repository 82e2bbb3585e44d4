package io.banyantally.standins.service;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a plain service stand-in. */
@Command(name = "service", mixinStandardHelpOptions = true, description = "Runs a plain service stand-in.")
public final class ServiceCommand implements Callable<Integer> {

    @Option(names = "--port", defaultValue = "0", description = "Port on 127.0.0.1; 0 for any free one.")
    private int port;

    @Option(names = "--delay-millis", defaultValue = "0", description = "Duration of a call.")
    private long delayMillis;

    @Override
    public Integer call() throws Exception {
        try (ServiceStandIn service = ServiceStandIn.start(port)) {
            service.setBehaviour(new ServiceBehaviour(ServiceBehaviour.Mode.ANSWER, delayMillis, -1));
            service.server().announce();
            service.server().awaitStop();
        }
        return 0;
    }
}
