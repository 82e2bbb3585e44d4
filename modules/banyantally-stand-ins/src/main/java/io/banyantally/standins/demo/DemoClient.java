package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;

/** Sends JSON requests to the processes of the demo; each request has 10 seconds for its response. */
final class DemoClient implements AutoCloseable {

    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final int TIMEOUT_SECONDS = 10;
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024 * 1024;

    private final HttpClient client = new HttpClient();

    DemoClient() throws DemoFailedException {
        try {
            client.start();
        } catch (Exception failure) {
            throw new DemoFailedException("cannot start the HTTP client", failure);
        }
    }

    Answer get(String address, String path, String bearer) throws DemoFailedException {
        return send("GET", address, path, bearer, null);
    }

    Answer send(String method, String address, String path, String bearer, JsonNode body) throws DemoFailedException {
        Request request =
                client.newRequest("http://" + address + path).method(method).timeout(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!bearer.isEmpty()) {
            request.headers(headers -> headers.put("Authorization", "Bearer " + bearer));
        }
        if (body != null) {
            request.body(new StringRequestContent("application/json", body.toString()));
        }
        try {
            ContentResponse response = new CompletableResponseListener(request, MAXIMUM_ANSWER_BYTES)
                    .send()
                    .get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            return new Answer(response.getStatus(), parse(response.getContentAsString()));
        } catch (ExecutionException | TimeoutException failure) {
            throw new DemoFailedException(method + " " + address + path + " got no response", failure);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new DemoFailedException("interrupted", interrupted);
        }
    }

    private static JsonNode parse(String text) {
        try {
            return MAPPER.readTree(text);
        } catch (IOException invalidJson) {
            return MAPPER.createObjectNode().put("text", text);
        }
    }

    @Override
    public void close() throws DemoFailedException {
        try {
            client.stop();
        } catch (Exception failure) {
            throw new DemoFailedException("cannot stop the HTTP client", failure);
        }
    }

    /** The status and the body of a response; a body that is not JSON is the text field of an object. */
    record Answer(int status, JsonNode body) {

        Answer expect(int expected, String what) throws DemoFailedException {
            if (status != expected) {
                throw new DemoFailedException(what + " answered " + status + " instead of " + expected + ": " + body);
            }
            return this;
        }
    }
}
