package io.banyantally.daemon.operator;

import picocli.CommandLine.Command;

/** Commands for the templates of services. */
@Command(
        name = "service",
        mixinStandardHelpOptions = true,
        description = "Reads and changes the templates of services.")
final class ServiceCommands extends ConfigurationEntryCommands {

    ServiceCommands() {
        super("services");
    }
}
