package io.banyantally.daemon.operator;

import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** The parent of the operators' commands. */
@Command(
        name = "operator",
        mixinStandardHelpOptions = true,
        subcommands = {ServiceCommands.class, AccountCommands.class, KeyCommands.class},
        description = "Reads and changes the configuration through any entry daemon.",
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {
            "0:done",
            "1:refused or failed",
            "2:wrong usage",
            "3:conflict with another operator's change",
            "4:written, not yet confirmed by a majority of the roster"
        })
public final class OperatorCommand implements Runnable {

    @Spec
    private CommandSpec spec;

    /** Creates the command; picocli sets its fields. */
    public OperatorCommand() {}

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "subcommand is missing; use one such as 'service list'");
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints the entry VMs whose majority confirms changes.")
    int roster(@Mixin OperatorConnection connection) {
        return connection.run(OperatorCall.get("roster"));
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints a section of the status, or the sections' names.")
    int status(
            @Mixin OperatorConnection connection,
            @Parameters(arity = "0..1", paramLabel = "SECTION", description = "Such as vms, upstreams or usage.")
                    String section) {
        return connection.run(OperatorCall.get(section == null ? "status" : "status/" + section));
    }
}
