package io.banyantally.standins.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.en.And;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;

/** Steps of a caller that sends requests to daemon 1. */
public final class CallerSteps {

    private final TestSite site = SharedSite.get();
    private final List<String> headers = new ArrayList<>();
    private HttpResponse<String> answer;

    /** Sends the valid key of the site's client account from now on. */
    @Given("a caller with a valid key")
    public void useValidKey() {
        headers.addAll(List.of("Authorization", "Bearer " + site.key()));
    }

    /** Sends the given text as the key from now on. */
    @Given("a caller with the key {string}")
    public void useKey(String key) {
        headers.addAll(List.of("Authorization", "Bearer " + key));
    }

    /** Sends no Authorization header. */
    @Given("a caller without a key")
    public void omitKey() {}

    /** Adds a header to the next requests. */
    @And("the header {string} is {string}")
    public void addHeader(String name, String value) {
        headers.addAll(List.of(name, value));
    }

    /** Adds a header whose value has a number of bytes. */
    @And("a header of {int} bytes")
    public void addLongHeader(int bytes) {
        headers.addAll(List.of("X-Long", "x".repeat(bytes)));
    }

    /** Sends a request without a body. */
    @When("it sends {word} {word}")
    public void send(String method, String path) {
        sendWithBody(method, path, "");
    }

    /** Sends a request with a body; {@code THE-KEY} in path and body stands for the valid key. */
    @When("it sends {word} {word} with {string}")
    public void sendWithBody(String method, String path, String body) {
        answer = site.send(
                method,
                site.entry(1),
                path.replace("THE-KEY", site.key()),
                body.replace("THE-KEY", site.key()),
                headers.toArray(new String[0]));
    }

    /** Sends a chat completion whose prompt has a number of characters. */
    @When("it sends a chat with a prompt of {int} characters")
    public void sendLongPrompt(int characters) {
        sendWithBody(
                "POST",
                "/v1/chat/completions",
                "{\"model\":\"assistant\",\"messages\":[{\"role\":\"user\",\"content\":\"" + "x".repeat(characters)
                        + "\"}]}");
    }

    /** Checks the status code of the last response. */
    @Then("the status is {int}")
    public void checkStatus(int status) {
        assertEquals(status, answer.statusCode(), answer.body());
    }

    /** Checks the status, the error type, {@code notRun} and that the error has a message. */
    @Then("it is refused with {int} {word} as not run")
    public void checkRefusal(int status, String type) {
        checkStatus(status);
        JsonNode error = TestSite.json(answer).path("error");
        assertEquals(type, error.path("type").textValue(), answer.body());
        assertTrue(error.path("notRun").booleanValue(), answer.body());
        assertFalse(error.path("message").asText().isEmpty());
    }

    /** Checks that the body of the last response contains a text. */
    @And("the body contains {string}")
    public void checkBody(String expected) {
        assertTrue(answer.body().contains(expected), answer.body());
    }

    /** Checks the value of a header of the last response. */
    @And("the answer has the header {string} with {string}")
    public void checkHeader(String name, String value) {
        assertEquals(value, answer.headers().firstValue(name).orElse("nothing"));
    }

    /** Checks how often the service has run an order. */
    @And("the service has run order {string} {int} time(s)")
    public void checkExecutions(String orderId, int expected) {
        assertEquals(expected, executions(orderId));
    }

    /** Checks that an order ran no more often than a limit. */
    @And("the service has run order {string} at most {int} time(s)")
    public void checkExecutionsAtMost(String orderId, int limit) {
        assertTrue(executions(orderId) <= limit, orderId + " ran " + executions(orderId) + " times");
    }

    private int executions(String orderId) {
        JsonNode report = TestSite.json(site.send("GET", site.service(), "/control/report", ""));
        for (JsonNode order : report.get("orders")) {
            if (order.get("orderId").asText().equals(orderId)) {
                return order.get("executions").asInt();
            }
        }
        return 0;
    }

    /** Checks that the secret of the key is in no log, metric or timeline, and that no upstream received it. */
    @Then("the key is in no log, metric, timeline or upstream report")
    public void checkKeyIsNotExposed() throws IOException {
        String secret = site.key().split("_", -1)[2];
        assertFalse(site.allOutput().contains(secret), "a log contains the key");
        for (String address : List.of(site.engine(1), site.engine(2), site.service(), site.platform())) {
            assertFalse(site.send("GET", address, "/control/report", "").body().contains(secret), address);
        }
        for (String path : List.of("/metrics", "/operator/v1/status/timeline")) {
            String body = site.send("GET", site.entry(1), path, "", "Authorization", "Bearer " + TestSite.TOKEN)
                    .body();
            assertFalse(body.contains(secret), path);
        }
    }

    /** Checks that a daemon no longer lists the address of another. */
    @Then("entry daemon {int} is no longer in the addresses of daemon {int}")
    public void checkAddressRemoved(int removed, int queried) {
        String addresses =
                site.send("GET", site.entry(queried), "/v1/addresses", "").body();
        assertFalse(addresses.contains(site.entry(removed)), addresses);
    }
}
