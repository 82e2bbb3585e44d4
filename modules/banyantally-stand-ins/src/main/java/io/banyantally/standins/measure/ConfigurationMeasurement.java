package io.banyantally.standins.measure;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Groups the measurements of the configuration. */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        subcommands = {ConfigurationFleetMeasurement.class, ConfigurationSizeMeasurement.class},
        description = "Measures changes, entries and keys of the configuration.")
public final class ConfigurationMeasurement implements Runnable {

    /** Creates the command. */
    public ConfigurationMeasurement() {}

    /** Runs the measurement alone and exits with its status. */
    public static void main(String... arguments) {
        System.exit(new CommandLine(new ConfigurationMeasurement()).execute(arguments));
    }

    @Override
    public void run() {
        CommandLine.usage(this, System.out);
    }
}
