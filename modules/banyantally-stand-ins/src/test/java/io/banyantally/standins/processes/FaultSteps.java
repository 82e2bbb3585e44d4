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

/** Steps that break parts of a site and check what callers see. */
public final class FaultSteps {

    private static final int OK = 200;
    private static final Duration WITHDRAWAL_LIMIT = Duration.ofSeconds(2);

    private final TestSite site = SharedSite.get();
    private final List<CompletableFuture<HttpResponse<String>>> pending = new ArrayList<>();
    private HttpResponse<String> answer;
    private String withdrawnKey;
    private long withdrawnAt;
    private String expectedText;

    /** Ends the faults that a later scenario on the same site does not expect. */
    @After
    public void restore() {
        for (int number = 1; number <= 3; number++) {
            site.platformLink(number).setCut(false);
        }
        startKeyValueService();
    }

    /** Makes the key-value service unreachable for all daemons. */
    @Given("the key-value service is down")
    public void stopKeyValueService() {
        setKeyValueFault("{\"down\":true,\"delayMillis\":0,\"answerDelayMillis\":0,\"loseAnswer\":0,\"seed\":1}");
    }

    /** Loses the answers of all calls to the key-value service. */
    @Given("the key-value service loses every answer")
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

    /** Lets time pass. */
    @And("{int} seconds pass")
    public void pass(int seconds) throws InterruptedException {
        Thread.sleep(Duration.ofSeconds(seconds));
    }

    /** Checks that a daemon serves keyed requests. */
    @Then("daemon {int} serves keyed requests")
    public void checkServes(int number) throws InterruptedException {
        HttpResponse<String> reply = chat(number, site.key(), "May the box travel?", 4);
        long limit = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (reply.statusCode() != OK && System.nanoTime() < limit) {
            Thread.sleep(100);
            reply = chat(number, site.key(), "May the box travel?", 4);
        }
        assertEquals(OK, reply.statusCode(), reply.body());
    }

    /** Checks that a daemon refuses keyed requests for want of a proof. */
    @Then("daemon {int} refuses keyed requests as not run")
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

    /** Checks that every answer is the outcome, or says that another request is in progress. */
    @Then("each answer is the outcome or names the running call")
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

    /** Checks that the last answer succeeded. */
    @Then("the order is answered")
    public void checkAnswered() {
        assertEquals(OK, answer.statusCode(), answer.body());
    }

    /** Checks the last answer's error. */
    @Then("the order ends with {word} and notRun {word}")
    public void checkOrderError(String type, String notRun) {
        assertEquals(type, errorType(answer), answer.body());
        assertEquals(notRun, TestSite.json(answer).get("error").get("notRun").asText());
    }

    private static String errorType(HttpResponse<String> reply) {
        return TestSite.json(reply).path("error").path("type").asText();
    }

    /** Lets the service execute the next call and close its connection. */
    @Given("the service closes the next connection after running the call")
    public void closeAfterNextCall() {
        HttpResponse<String> reply = site.send(
                "POST",
                site.service(),
                "/control/behaviour",
                "{\"mode\":\"CLOSE_AFTER\",\"delayMillis\":0,\"calls\":1}");
        assertEquals(OK, reply.statusCode(), reply.body());
    }

    /** Pauses a daemon's process. */
    @Given("daemon {int} is paused")
    public void pauseDaemon(int number) throws IOException, InterruptedException {
        site.entryProcess(number).pause();
    }

    /** Lets a paused process go on. */
    @When("daemon {int} goes on")
    public void resumeDaemon(int number) throws IOException, InterruptedException {
        site.entryProcess(number).resume();
    }

    /** Kills a daemon. */
    @When("daemon {int} is killed")
    public void killDaemon(int number) {
        site.entryProcess(number).kill();
    }

    /** Cuts a daemon off from the platform. */
    @Given("daemon {int} is cut off from the platform")
    public void cutPlatform(int number) {
        site.platformLink(number).setCut(true);
    }

    /** Gives a key and waits until every daemon takes it. */
    @Given("a second key that all daemons accept")
    public void giveSecondKey() throws InterruptedException {
        withdrawnKey = site.giveKey();
        long limit = System.nanoTime() + Duration.ofSeconds(5).toNanos();
        for (int number = 1; number <= 3; number++) {
            while (models(number).statusCode() != OK) {
                assertTrue(System.nanoTime() < limit, "daemon " + number + " does not accept a given key in 5 s");
                Thread.sleep(20);
            }
        }
    }

    private HttpResponse<String> models(int number) {
        return site.send("GET", site.entry(number), "/v1/models", "", "Authorization", "Bearer " + withdrawnKey);
    }

    /** Withdraws the second key; the answer must say that a majority has it. */
    @When("the second key is withdrawn and the withdrawal accepted")
    public void withdrawSecondKey() {
        HttpResponse<String> reply =
                site.tryOperator("DELETE", "keys/" + withdrawnKey.split("_", -1)[1], "");
        assertEquals(OK, reply.statusCode(), reply.body());
        withdrawnAt = System.nanoTime();
    }

    /** Checks that a daemon stops taking the key within the limit, and never takes it again. */
    @Then("daemon {int} stops accepting the second key within 2 seconds")
    public void checkWithdrawn(int number) throws InterruptedException {
        while (models(number).statusCode() == OK) {
            Duration since = Duration.ofNanos(System.nanoTime() - withdrawnAt);
            assertTrue(since.compareTo(WITHDRAWAL_LIMIT) <= 0, "still accepted after " + since);
            Thread.sleep(10);
        }
        checkNeverAccepted(number);
    }

    /** Checks that a daemon does not take the key for a while. */
    @Then("daemon {int} never accepts the second key")
    public void checkNeverAccepted(int number) throws InterruptedException {
        for (int tries = 0; tries < 100; tries++) {
            assertNotEquals(OK, models(number).statusCode());
            Thread.sleep(10);
        }
    }

    /** Gets the text that a prompt yields without faults. */
    @Given("the answer to a long prompt is known")
    public void learnAnswer() {
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

    /** Crashes an engine. */
    @And("engine {int} crashes")
    public void crashEngine(int number) {
        try {
            site.send("POST", site.engine(number), "/control/crash", "");
        } catch (java.io.UncheckedIOException crashed) {
            // A crashed engine may close the connection before its answer.
        }
    }

    /** Drains a daemon while its streams run. */
    @And("daemon {int} is told to stop and ends with exit code 0")
    public void drainDaemon(int number) throws InterruptedException {
        assertEquals(0, site.entryProcess(number).terminate(Duration.ofSeconds(60)));
    }

    /** Checks that each stream is whole: no token is missing or repeated. */
    @Then("every stream is complete, with no token missing or repeated")
    public void checkStreams() {
        for (CompletableFuture<HttpResponse<String>> stream : pending) {
            HttpResponse<String> reply = stream.join();
            assertEquals(OK, reply.statusCode(), reply.body());
            assertTrue(reply.body().endsWith("data: [DONE]\n\n"), "no end mark");
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
