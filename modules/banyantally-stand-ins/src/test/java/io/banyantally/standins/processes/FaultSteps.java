package io.banyantally.standins.processes;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.cucumber.java.After;
import io.cucumber.java.en.And;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.io.IOException;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/** Steps that inject faults into a site and check the responses to callers. */
public final class FaultSteps {

    private static final int OK = 200;
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofSeconds(2);

    private final TestSite site = SharedSite.get();
    private final List<CompletableFuture<HttpResponse<String>>> pending = new ArrayList<>();
    private HttpResponse<String> answer;
    private String withdrawnKey;
    private long withdrawnAt;
    private String expectedText;

    /** Ends faults that would affect later scenarios on the same site. */
    @After
    public void restore() {
        for (int number = 1; number <= 3; number++) {
            site.platformRelay(number).setDisconnected(false);
        }
        startKeyValueService();
    }

    /** Makes the key-value service unreachable for all daemons. */
    @Given("the key-value service is down")
    public void stopKeyValueService() {
        setKeyValueFault("{\"down\":true,\"delayMillis\":0,\"answerDelayMillis\":0,\"loseAnswer\":0,\"seed\":1}");
    }

    /** Drops the responses to all calls to the key-value service. */
    @Given("the key-value service drops every response")
    public void loseAnswers() {
        setKeyValueFault("{\"down\":false,\"delayMillis\":0,\"answerDelayMillis\":0,\"loseAnswer\":1,\"seed\":1}");
    }

    /** Ends the faults of the key-value service. */
    @When("the key-value service is up again")
    public void startKeyValueService() {
        setKeyValueFault("{\"down\":false,\"delayMillis\":0,\"answerDelayMillis\":0,\"loseAnswer\":0,\"seed\":1}");
    }

    private void setKeyValueFault(String settings) {
        HttpResponse<String> reply = site.send("POST", site.platform(), "/control/faults/key-value", settings);
        assertEquals(OK, reply.statusCode(), reply.body());
    }

    /** Waits for a number of seconds. */
    @And("{int} seconds pass")
    public void waitSeconds(int seconds) throws InterruptedException {
        Thread.sleep(Duration.ofSeconds(seconds));
    }

    /** Checks that a daemon serves requests with a key, at the latest after 10 seconds. */
    @Then("daemon {int} serves requests with a key")
    public void checkServes(int number) throws InterruptedException {
        HttpResponse<String> reply = chat(number, site.key(), "May the box travel?", 4);
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (reply.statusCode() != OK && System.nanoTime() < deadlineNanos) {
            Thread.sleep(100);
            reply = chat(number, site.key(), "May the box travel?", 4);
        }
        assertEquals(OK, reply.statusCode(), reply.body());
    }

    /** Checks that a daemon answers 503 and "not run", because no peer and no platform confirms its configuration. */
    @Then("daemon {int} refuses requests with a key as not run")
    public void checkRefuses(int number) {
        HttpResponse<String> reply =
                site.send("GET", site.entry(number), "/v1/models", "", "Authorization", "Bearer " + site.key());
        assertEquals(503, reply.statusCode(), reply.body());
        assertTrue(TestSite.json(reply).get("error").get("notRun").asBoolean());
    }

    /** Sends an order with an idempotency key to one daemon. */
    @When("order {string} with an idempotency key is sent to daemon {int}")
    public void sendOrder(String orderId, int number) {
        answer = order(number, orderId, true);
    }

    /** Sends an order without an idempotency key to one daemon. */
    @When("order {string} without an idempotency key is sent to daemon {int}")
    public void sendOrderWithoutKey(String orderId, int number) {
        answer = order(number, orderId, false);
    }

    /** Sends the same order to all daemons at once. */
    @When("order {string} with an idempotency key is sent to all daemons at once")
    public void sendOrderEverywhere(String orderId) {
        for (int number = 1; number <= 3; number++) {
            int daemon = number;
            pending.add(CompletableFuture.supplyAsync(() -> order(daemon, orderId, true)));
        }
    }

    private HttpResponse<String> order(int number, String orderId, boolean withIdempotencyKey) {
        List<String> headers = new ArrayList<>(List.of("Authorization", "Bearer " + site.key()));
        if (withIdempotencyKey) {
            headers.addAll(List.of("Idempotency-Key", orderId));
        }
        return site.send(
                "POST",
                site.entry(number),
                "/services/orders/pack",
                "{\"orderId\":\"" + orderId + "\"}",
                headers.toArray(new String[0]));
    }

    /** Checks that every response is the outcome or {@code call_in_progress}, and at least one is the outcome. */
    @Then("each response is the outcome or says that the call is in progress")
    public void checkConcurrentAnswers() {
        int outcomes = 0;
        for (CompletableFuture<HttpResponse<String>> request : pending) {
            HttpResponse<String> reply = request.join();
            if (reply.statusCode() == OK) {
                outcomes++;
            } else {
                assertEquals("call_in_progress", errorType(reply), reply.body());
            }
        }
        assertTrue(outcomes >= 1);
    }

    /** Checks that the last order got status 200. */
    @Then("the order is answered")
    public void checkAnswered() {
        assertEquals(OK, answer.statusCode(), answer.body());
    }

    /** Checks error type and {@code notRun} of the last response. */
    @Then("the order ends with {word} and notRun {word}")
    public void checkOrderError(String type, String notRun) {
        assertEquals(type, errorType(answer), answer.body());
        assertEquals(notRun, TestSite.json(answer).get("error").get("notRun").asText());
    }

    private static String errorType(HttpResponse<String> reply) {
        return TestSite.json(reply).path("error").path("type").asText();
    }

    /** Makes the service run the next call and close the connection without a response. */
    @Given("the service closes the next connection after running the call")
    public void closeAfterNextCall() {
        HttpResponse<String> reply = site.send(
                "POST",
                site.service(),
                "/control/behaviour",
                "{\"mode\":\"CLOSE_AFTER\",\"delayMillis\":0,\"calls\":1}");
        assertEquals(OK, reply.statusCode(), reply.body());
    }

    /** Suspends the process of a daemon. */
    @Given("daemon {int} is paused")
    public void pauseDaemon(int number) throws IOException, InterruptedException {
        site.entryProcess(number).pause();
    }

    /** Resumes the process of a paused daemon. */
    @When("daemon {int} is resumed")
    public void resumeDaemon(int number) throws IOException, InterruptedException {
        site.entryProcess(number).resume();
    }

    /** Kills the process of a daemon. */
    @When("daemon {int} is killed")
    public void killDaemon(int number) {
        site.entryProcess(number).kill();
    }

    /** Closes the connections of a daemon to the platform, new ones included. */
    @Given("daemon {int} is cut off from the platform")
    public void disconnectFromPlatform(int number) {
        site.platformRelay(number).setDisconnected(true);
    }

    /** Creates a key and waits until every daemon accepts it. */
    @Given("a second key that all daemons accept")
    public void createSecondKey() throws InterruptedException {
        withdrawnKey = site.createKey();
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        for (int number = 1; number <= 3; number++) {
            while (models(number).statusCode() != OK) {
                assertTrue(
                        System.nanoTime() < deadlineNanos,
                        "daemon " + number + " does not accept a new key within 5 s");
                Thread.sleep(20);
            }
        }
    }

    private HttpResponse<String> models(int number) {
        return site.send("GET", site.entry(number), "/v1/models", "", "Authorization", "Bearer " + withdrawnKey);
    }

    /** Withdraws the second key; status 200 says that a majority has applied the withdrawal. */
    @When("the second key is withdrawn and the withdrawal accepted")
    public void withdrawSecondKey() {
        HttpResponse<String> reply =
                site.sendChangeWithRetry("DELETE", "keys/" + withdrawnKey.split("_", -1)[1], "");
        assertEquals(OK, reply.statusCode(), reply.body());
        withdrawnAt = System.nanoTime();
    }

    /** Checks that a daemon stops accepting the key within the limit and does not accept it again. */
    @Then("daemon {int} stops accepting the second key within 2 seconds")
    public void checkWithdrawn(int number) throws InterruptedException {
        while (models(number).statusCode() == OK) {
            Duration since = Duration.ofNanos(System.nanoTime() - withdrawnAt);
            assertTrue(since.compareTo(WITHDRAWAL_LIMIT) <= 0, "still accepted after " + since);
            Thread.sleep(10);
        }
        checkNeverAccepted(number);
    }

    /** Checks in 100 requests that a daemon does not accept the key. */
    @Then("daemon {int} never accepts the second key")
    public void checkNeverAccepted(int number) throws InterruptedException {
        for (int tries = 0; tries < 100; tries++) {
            assertNotEquals(OK, models(number).statusCode());
            Thread.sleep(10);
        }
    }

    /** Records the text that the prompt yields without faults. */
    @Given("the answer to a long prompt is known")
    public void recordExpectedText() {
        HttpResponse<String> reply = chat(1, site.key(), "Inspection history of the yard", 400);
        assertEquals(OK, reply.statusCode(), reply.body());
        expectedText = TestSite.json(reply)
                .get("choices")
                .get(0)
                .get("message")
                .get("content")
                .asText();
    }

    /** Starts streams of the same prompt through two daemons. */
    @When("streams of the same prompt run through daemons {int} and {int}")
    public void startStreams(int first, int second) throws InterruptedException {
        for (int number : List.of(first, second, first, second)) {
            pending.add(CompletableFuture.supplyAsync(() -> stream(number)));
        }
        Thread.sleep(Duration.ofSeconds(1));
    }

    /** Makes an engine crash. */
    @And("engine {int} crashes")
    public void crashEngine(int number) {
        try {
            site.send("POST", site.engine(number), "/control/crash", "");
        } catch (java.io.UncheckedIOException crashed) {
            // A crashing engine may close the connection before it responds.
        }
    }

    /** Drains a daemon with SIGTERM while its streams run. */
    @And("daemon {int} is told to stop and exits with code 0")
    public void drainDaemon(int number) throws InterruptedException {
        assertEquals(0, site.entryProcess(number).terminate(Duration.ofSeconds(60)));
    }

    /** Checks that each stream is complete: its end marker follows, and no token is missing or repeated. */
    @Then("every stream is complete, with no token missing or repeated")
    public void checkStreams() {
        for (CompletableFuture<HttpResponse<String>> stream : pending) {
            HttpResponse<String> reply = stream.join();
            assertEquals(OK, reply.statusCode(), reply.body());
            assertTrue(reply.body().endsWith("data: [DONE]\n\n"), "the stream does not end with data: [DONE]");
            assertEquals(expectedText, textOf(reply.body()));
        }
    }

    private static String textOf(String events) {
        StringBuilder text = new StringBuilder();
        for (String event : events.split("\n\n", -1)) {
            if (event.startsWith("data: {")) {
                JsonNode chunk = TestSite.parse(event.substring("data: ".length()));
                assertFalse(chunk.has("error"), event);
                text.append(
                        chunk.get("choices").get(0).get("delta").path("content").asText());
            }
        }
        return text.toString();
    }

    private HttpResponse<String> chat(int number, String key, String prompt, int tokens) {
        return site.send(
                "POST",
                site.entry(number),
                "/v1/chat/completions",
                body(prompt, tokens, false),
                "Authorization",
                "Bearer " + key);
    }

    private HttpResponse<String> stream(int number) {
        return site.send(
                "POST",
                site.entry(number),
                "/v1/chat/completions",
                body("Inspection history of the yard", 400, true),
                "Authorization",
                "Bearer " + site.key());
    }

    private static String body(String prompt, int tokens, boolean stream) {
        return "{\"model\":\"assistant\",\"stream\":" + stream + ",\"max_tokens\":" + tokens
                + ",\"messages\":[{\"role\":\"user\",\"content\":\"" + prompt + "\"}]}";
    }
}
