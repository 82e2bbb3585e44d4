package io.banyantally.daemon.operator;

import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** The commands shared by service templates and client account parameters. */
abstract class ConfigurationEntryCommands {

    private final String collection;

    ConfigurationEntryCommands(String collection) {
        this.collection = collection;
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints all entries and the revision of the configuration.")
    int list(@Mixin OperatorConnection connection) {
        return connection.run(OperatorCall.get(collection));
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints one entry and the revision of the configuration.")
    int get(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "NAME", description = "The entry's name.") String name) {
        return connection.run(OperatorCall.get(collection + "/" + name));
    }

    @Command(
            mixinStandardHelpOptions = true,
            description =
                    "Adds or replaces an entry. If it changed after --based-on, exits with 3 and prints both versions.")
    int put(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "NAME", description = "The entry's name.") String name,
            @Option(names = "--file", required = true, paramLabel = "FILE", description = "The JSON document.")
                    Path file,
            @Option(
                            names = "--based-on",
                            required = true,
                            paramLabel = "REVISION",
                            description = "The revision that the document was based on.")
                    long basedOn) {
        return connection.run("PUT", collection + "/" + name + "?basedOn=" + basedOn, file);
    }

    @Command(mixinStandardHelpOptions = true, description = "Checks a document without applying it.")
    int validate(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "NAME", description = "The entry's name.") String name,
            @Option(names = "--file", required = true, paramLabel = "FILE", description = "The JSON document.")
                    Path file) {
        return connection.run("POST", collection + "/" + name + "/validate", file);
    }

    @Command(mixinStandardHelpOptions = true, description = "Prints what a document would change.")
    int diff(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "NAME", description = "The entry's name.") String name,
            @Option(names = "--file", required = true, paramLabel = "FILE", description = "The JSON document.")
                    Path file) {
        return connection.run("POST", collection + "/" + name + "/diff", file);
    }
}
