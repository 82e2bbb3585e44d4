package io.banyantally.standins.demo;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.banyantally.standins.demo.DemoClient.Answer;

/** Changes the configuration through one entry daemon. */
final class OperatorClient {

    private static final int OK = 200;
    private static final int CREATED = 201;
    private static final int ACCEPTED = 202;
    private static final int UNAVAILABLE = 503;
    private static final int MAXIMUM_TRIES = 10;
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

    /** Gives a key and returns its text. */
    String giveKey(String account) throws DemoFailedException {
        ObjectNode document = DemoClient.MAPPER.createObjectNode().put("account", account);
        return change("POST", "/operator/v1/keys", document).body().get("key").textValue();
    }

    Answer withdraw(String keyId) throws DemoFailedException {
        return change("DELETE", "/operator/v1/keys/" + keyId, null);
    }

    /** Repeats a change that the answer calls certainly not written, as an operator would. */
    private Answer change(String method, String path, JsonNode document) throws DemoFailedException {
        Answer answer = tryChange(method, path, document);
        for (int tries = 1; tries < MAXIMUM_TRIES && answer.status() == UNAVAILABLE; tries++) {
            waitBriefly();
            answer = tryChange(method, path, document);
        }
        if (answer.status() != OK && answer.status() != CREATED && answer.status() != ACCEPTED) {
            throw new DemoFailedException(method + " " + path + " answered " + answer.status() + ": " + answer.body());
        }
        return answer;
    }

    private Answer tryChange(String method, String path, JsonNode document) throws DemoFailedException {
        long revision = client.get(address, "/operator/v1/status", token)
                .expect(OK, "status")
                .body()
                .get("revision")
                .asLong();
        return client.send(method, address, path + "?basedOn=" + revision, token, document);
    }

    private static void waitBriefly() throws DemoFailedException {
        try {
            Thread.sleep(RETRY_DELAY_MILLIS);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new DemoFailedException("interrupted", stopped);
        }
    }
}
