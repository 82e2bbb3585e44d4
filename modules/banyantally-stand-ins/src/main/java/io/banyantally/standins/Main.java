package io.banyantally.standins;

import io.banyantally.standins.demo.DemoStepCommand;
import io.banyantally.standins.engine.EngineCommand;
import io.banyantally.standins.experiment.ExperimentCommand;
import io.banyantally.standins.load.LoadCommand;
import io.banyantally.standins.measure.MeasureCommand;
import io.banyantally.standins.platform.PlatformCommand;
import io.banyantally.standins.service.ServiceCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Command line of the stand-ins and the load tool. */
@Command(
        name = "banyantally",
        mixinStandardHelpOptions = true,
        subcommands = {
            Main.StandIn.class,
            LoadCommand.class,
            ExperimentCommand.class,
            MeasureCommand.class,
            DemoStepCommand.class
        },
        description = "Stand-ins for external systems, and the load tool. All listen on loopback only.")
public final class Main implements Runnable {

    private Main() {}

    /** Runs a subcommand and exits with its status. */
    public static void main(String... arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }

    /** Groups the stand-ins. */
    @Command(
            name = "stand-in",
            mixinStandardHelpOptions = true,
            subcommands = {PlatformCommand.class, EngineCommand.class, ServiceCommand.class},
            description = "Runs a stand-in until it is told to stop.")
    static final class StandIn implements Runnable {

        @Override
        public void run() {
            CommandLine.usage(this, System.out);
        }
    }
}
