package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.standins.demo.DemoClient.Answer;

/** Changes the configuration through the operators' interface of one entry daemon. */
final class OperatorClient {

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;
    private static final int UNAVAILABLE = 503;
    private static final int MAXIMUM_ATTEMPTS = 10;
    private static final int RETRY_DELAY_MILLIS = 300;

    private final DemoClient client;
    private final String address;
    private final String token;

    OperatorClient(DemoClient client, String address, String token) {
        this.client = client;
        this.address = address;
        this.token = token;
    }

    void put(String collection, String name, ObjectNode document) throws DemoFailedException {
        change("PUT", "/operator/v1/" + collection + "/" + name, document);
    }

    /** Creates an API key of a client account and returns its text. */
    String createKey(String account) throws DemoFailedException {
        ObjectNode document = DemoClient.MAPPER.createObjectNode().put("account", account);
        return change("POST", "/operator/v1/keys", document).body().get("key").textValue();
    }

    Answer withdraw(String keyId) throws DemoFailedException {
        return change("DELETE", "/operator/v1/keys/" + keyId, null);
    }

    /** Sends a change and repeats it while the daemon answers 503, which means that it was not written. */
    private Answer change(String method, String path, JsonNode document) throws DemoFailedException {
        Answer answer = sendChange(method, path, document);
        for (int attempts = 1; attempts < MAXIMUM_ATTEMPTS && answer.status() == UNAVAILABLE; attempts++) {
            waitBeforeRetry();
            answer = sendChange(method, path, document);
        }
        if (answer.status() != OK && answer.status() != CREATED && answer.status() != ACCEPTED) {
            throw new DemoFailedException(method + " " + path + " answered " + answer.status() + ": " + answer.body());
        }
        return answer;
    }

    private Answer sendChange(String method, String path, JsonNode document) throws DemoFailedException {
        long revision = client.get(address, "/operator/v1/status", token)
                .expect(OK, "status")
                .body()
                .get("revision")
                .asLong();
        return client.send(method, address, path + "?basedOn=" + revision, token, document);
    }

    private static void waitBeforeRetry() throws DemoFailedException {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
            throw new DemoFailedException("interrupted", interrupted);
        }
    }
}
