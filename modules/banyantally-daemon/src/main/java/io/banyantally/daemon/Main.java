package io.banyantally.daemon;

import io.banyantally.daemon.operator.OperatorCommand;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The entry point of the command line. */
@Command(
        name = "banyantally",
        mixinStandardHelpOptions = true,
        version = "banyantally 0.1.0",
        description = "Serves language models and the services around them on a limited fleet.",
        subcommands = {
            EntryCommand.class,
            OperatorCommand.class,
            TimelineCommand.class,
            ExplainCommand.class,
            GenerateCompletion.class
        })
public final class Main {

    private Main() {}

    /** Runs the command in {@code arguments} and exits with its exit code. */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new Main()).execute(arguments));
    }
}
