package io.banyantally.standins.measure;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the measurements of the HTTP adapters. */
@Command(
        name = "adapters",
        mixinStandardHelpOptions = true,
        subcommands = {StreamMemoryCommand.class, ChunkCostCommand.class, KeyValueCostCommand.class},
        description = "Measures what the adapters cost, against stand-ins that run in processes of their own.")
final class AdapterMeasurement implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        CommandLine.usage(spec.commandLine(), System.out);
    }
}
