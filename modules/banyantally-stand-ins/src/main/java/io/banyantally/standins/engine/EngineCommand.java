package io.banyantally.standins.engine;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/** Runs an engine stand-in. */
@Command(name = "engine", mixinStandardHelpOptions = true, description = "Runs an engine stand-in.")
public final class EngineCommand implements Callable<Integer> {

    /** The exit code of a process that SIGKILL ended. */
    private static final int SIGKILL_EXIT_CODE = 137;

    @Option(names = "--port", defaultValue = "0", description = "Port on 127.0.0.1; 0 for any free one.")
    private int port;

    @Mixin
    private EngineOptions options;

    @Override
    public Integer call() throws Exception {
        try (EngineStandIn engine =
                EngineStandIn.start(port, options, () -> Runtime.getRuntime().halt(SIGKILL_EXIT_CODE))) {
            engine.server().announce();
            engine.server().awaitStop();
        }
        return 0;
    }
}
