package io.banyantally.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http.HttpHeader;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** The connection options shared by all operators' commands; sends their requests and prints the responses. */
final class OperatorConnection {

    /** Longer than the time that a VM waits for the confirmation of a change and for a slow platform. */
    private static final long TIMEOUT_SECONDS = 20;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    @Spec(Spec.Target.MIXEE)
    private CommandSpec command;

    @Option(
            names = "--address",
            required = true,
            paramLabel = "URL",
            description = "Address of any entry daemon, such as http://10.0.0.1:8080.")
    private URI address;

    @Option(
            names = "--token-file",
            required = true,
            paramLabel = "FILE",
            description = "File that holds the operator's token.")
    private Path tokenFile;

    @Option(
            names = "--output",
            paramLabel = "FORMAT",
            defaultValue = "text",
            description = "Output format: text or json (default: ${DEFAULT-VALUE}).")
    private OutputFormat output;

    /** Sends a request, prints the response, and returns the exit code. */
    int run(OperatorCall call) {
        try {
            OperatorReply reply = send(call);
            print(reply);
            return OperatorExitCodes.of(reply.status());
        } catch (OperatorClientException failure) {
            command.commandLine().getErr().println(failure.getMessage());
            return failure.exitCode();
        }
    }

    /** Sends a request whose body is a file; if it cannot be read, prints an error and sends nothing. */
    int run(String method, String path, Path document) {
        try {
            return run(new OperatorCall(method, path, Files.readAllBytes(document)));
        } catch (IOException failure) {
            command.commandLine().getErr().println("file '" + document + "' can't be read; expected a JSON document");
            return OperatorExitCodes.USAGE;
        }
    }

    private void print(OperatorReply reply) {
        boolean done = OperatorExitCodes.of(reply.status()) == OperatorExitCodes.DONE
                || OperatorExitCodes.of(reply.status()) == OperatorExitCodes.NOT_CONFIRMED;
        var writer = done || output == OutputFormat.JSON
                ? command.commandLine().getOut()
                : command.commandLine().getErr();
        writer.print(output == OutputFormat.JSON ? reply.body().toPrettyString() + "\n" : TextOutput.of(reply.body()));
        writer.flush();
    }

    private OperatorReply send(OperatorCall call) throws OperatorClientException {
        String token = token();
        HttpClient client = new HttpClient();
        try {
            client.start();
            ContentResponse response = client.newRequest(address.resolve("/operator/v1/" + call.path()))
                    .method(call.method())
                    .headers(headers -> headers.put(HttpHeader.AUTHORIZATION, "Bearer " + token))
                    .body(new BytesRequestContent("application/json", call.body()))
                    .timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .send();
            return new OperatorReply(response.getStatus(), body(response));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new OperatorClientException(
                    OperatorExitCodes.FAILED, "interrupted while waiting for " + address, interrupted);
        } catch (OperatorClientException failure) {
            throw failure;
        } catch (Exception failure) {
            throw unreachable(call, failure);
        } finally {
            stop(client);
        }
    }

    private OperatorClientException unreachable(OperatorCall call, Exception failure) {
        String advice = call.method().equals("GET")
                ? "; try another entry daemon"
                : "; the change may have taken effect, so read the configuration before a retry";
        return new OperatorClientException(
                OperatorExitCodes.FAILED,
                "no response from " + address + " (" + failure.getMessage() + ")" + advice,
                failure);
    }

    private JsonNode body(ContentResponse response) throws OperatorClientException {
        try {
            return MAPPER.readTree(response.getContent());
        } catch (IOException failure) {
            throw notJson(response, failure);
        }
    }

    private OperatorClientException notJson(ContentResponse response, Exception failure) {
        return new OperatorClientException(
                OperatorExitCodes.FAILED,
                address + " answered " + response.getStatus() + " without JSON; check that it is an entry daemon",
                failure);
    }

    private String token() throws OperatorClientException {
        try {
            return Files.readString(tokenFile).strip();
        } catch (IOException failure) {
            throw new OperatorClientException(
                    OperatorExitCodes.USAGE,
                    "token file '" + tokenFile + "' can't be read; check --token-file",
                    failure);
        }
    }

    private void stop(HttpClient client) {
        try {
            client.stop();
        } catch (Exception failure) {
            command.commandLine().getErr().println("the connection to " + address + " could not be closed");
        }
    }
}
