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

/** The options that every operators' command takes, and the call they describe. */
final class OperatorConnection {

    /** Longer than a VM waits for the confirmation of a change and for a slow platform. */
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
            description = "How to print the answer: text or json (default: ${DEFAULT-VALUE}).")
    private OutputFormat output;

    /** Sends a request, prints the answer, and returns the exit code. */
    int run(OperatorCall call) {
        try {
            OperatorReply reply = send(call);
            print(reply);
            return OperatorExit.of(reply.status());
        } catch (OperatorClientException failure) {
            command.commandLine().getErr().println(failure.getMessage());
            return failure.exitCode();
        }
    }

    /** Reads a document for the body of a request; prints why when it can't, and calls nothing. */
    int run(String method, String path, Path document) {
        try {
            return run(new OperatorCall(method, path, Files.readAllBytes(document)));
        } catch (IOException failure) {
            command.commandLine().getErr().println("file '" + document + "' can't be read; name a JSON document");
            return OperatorExit.USAGE;
        }
    }

    private void print(OperatorReply reply) {
        boolean done = OperatorExit.of(reply.status()) == OperatorExit.DONE
                || OperatorExit.of(reply.status()) == OperatorExit.NOT_CONFIRMED;
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
                    OperatorExit.FAILED, "interrupted while waiting for " + address, interrupted);
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
                : "; the change may have taken effect, so read the configuration before repeating it";
        return new OperatorClientException(
                OperatorExit.FAILED, "no answer from " + address + " (" + failure.getMessage() + ")" + advice, failure);
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
                OperatorExit.FAILED,
                address + " answered " + response.getStatus() + " without JSON; check that it is an entry daemon",
                failure);
    }

    private String token() throws OperatorClientException {
        try {
            return Files.readString(tokenFile).strip();
        } catch (IOException failure) {
            throw new OperatorClientException(
                    OperatorExit.USAGE, "token file '" + tokenFile + "' can't be read; check --token-file", failure);
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
