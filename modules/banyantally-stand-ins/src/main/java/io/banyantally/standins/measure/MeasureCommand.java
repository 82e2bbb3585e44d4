package io.banyantally.standins.measure;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Groups the measurements that run as commands. */
@Command(
        name = "measure",
        mixinStandardHelpOptions = true,
        subcommands = {
            ConfigurationMeasurement.class,
            AdapterMeasurement.class,
            DecisionCostCommand.class,
            ExchangeCostCommand.class,
            NoticeCostCommand.class
        },
        description = "Measures single parts of the system.")
public final class MeasureCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        CommandLine.usage(spec.commandLine(), System.out);
    }
}
