package io.banyantally.daemon.operator;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Commands for callers' API keys. */
@Command(name = "key", mixinStandardHelpOptions = true, description = "Lists, creates and withdraws callers' keys.")
final class KeyCommands {

    @Command(mixinStandardHelpOptions = true, description = "Prints the ids of the keys; their secrets are not stored.")
    int list(
            @Mixin OperatorConnection connection,
            @Option(names = "--account", paramLabel = "ACCOUNT", description = "Only keys of this client account.")
                    String account) {
        return connection.run(OperatorCall.get(account == null ? "keys" : "keys?account=" + account));
    }

    @Command(
            mixinStandardHelpOptions = true,
            description = "Creates a key for an account and prints it; it can't be printed again.")
    int give(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "ACCOUNT", description = "The client account.") String account,
            @Option(
                            names = "--based-on",
                            required = true,
                            paramLabel = "REVISION",
                            description = "The revision that the change is based on.")
                    long basedOn) {
        byte[] body = JsonNodeFactory.instance
                .objectNode()
                .put("account", account)
                .toString()
                .getBytes(StandardCharsets.UTF_8);
        return connection.run(new OperatorCall("POST", "keys?basedOn=" + basedOn, body));
    }

    @Command(
            mixinStandardHelpOptions = true,
            description =
                    "Withdraws a key. If the change is written but not yet confirmed, exits with 4; run it again then.")
    int withdraw(
            @Mixin OperatorConnection connection,
            @Parameters(paramLabel = "KEY-ID", description = "The key's id, the part after 'bk_'.") String key,
            @Option(
                            names = "--based-on",
                            required = true,
                            paramLabel = "REVISION",
                            description = "The revision that the change is based on.")
                    long basedOn) {
        return connection.run(new OperatorCall("DELETE", "keys/" + key + "?basedOn=" + basedOn, new byte[0]));
    }
}
