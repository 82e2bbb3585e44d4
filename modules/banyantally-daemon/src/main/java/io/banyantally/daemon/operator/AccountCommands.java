package io.banyantally.daemon.operator;

import picocli.CommandLine.Command;

/** Commands for the parameters of client accounts. */
@Command(
        name = "account",
        mixinStandardHelpOptions = true,
        description = "Reads and changes the parameters of client accounts.")
final class AccountCommands extends ConfigurationEntryCommands {

    AccountCommands() {
        super("accounts");
    }
}
