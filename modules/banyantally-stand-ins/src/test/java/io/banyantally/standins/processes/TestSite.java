package io.banyantally.standins.processes;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.banyantally.internal.configuration.SaltedHash;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** A small site of separate processes: a platform, an engine, a plain service and two entry daemons. */
final class TestSite implements AutoCloseable {

    static final String TOKEN = "operator-token-for-tests";

    private static final String STAND_INS = "io.banyantally.standins.Main";
    private static final String DAEMON = "io.banyantally.daemon.Main";
    private static final Duration READY_LIMIT = Duration.ofSeconds(60);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client = HttpClient.newHttpClient();
    private final List<RunningProcess> processes = new ArrayList<>();
    private final List<RunningProcess> entries = new ArrayList<>();
    private final List<String> entryAddresses = new ArrayList<>();
    private final Path folder;
    private final String platform;
    private final String engine;
    private final String service;
    private final String key;

    TestSite() throws IOException, InterruptedException {
        folder = Files.createTempDirectory(Path.of("target"), "site");
        RunningProcess platformProcess =
                start("platform", STAND_INS, "stand-in", "platform", "--directory-lag-millis", "100");
        RunningProcess engineProcess = start("engine", STAND_INS, "stand-in", "engine", "--model", "assistant");
        RunningProcess serviceProcess = start("service", STAND_INS, "stand-in", "service");
        platform = platformProcess.field("address");
        startEntry("entry-1", "zone-a");
        startEntry("entry-2", "zone-b");
        engine = engineProcess.field("address");
        service = serviceProcess.field("address");
        register("engine-1", "ENGINE", "zone-a", "assistant", engine);
        register("service-1", "PLAIN_SERVICE", "zone-a", "orders", service);
        for (int index = 0; index < entries.size(); index++) {
            String peers = entries.get(index).field("peers");
            entryAddresses.add(entries.get(index).field("callers"));
            register("entry-" + (index + 1), "ENTRY", index == 0 ? "zone-a" : "zone-b", null, peers);
        }
        awaitReady();
        putTemplates();
        key = giveKey();
    }

    private RunningProcess start(String name, String mainClass, String... arguments) throws IOException {
        RunningProcess process = RunningProcess.start(folder, name, mainClass, arguments);
        processes.add(process);
        return process;
    }

    private void startEntry(String name, String zone) throws IOException {
        SaltedHash token = SaltedHash.of(TOKEN, new SecureRandom());
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, """
                {"vm":"%s","site":"test","region":"region-1","zone":"%s","callers":"127.0.0.1:0","peers":"127.0.0.1:0",
                 "platform":{"keyValueStore":"%5$s","upstreamOrdering":"%5$s","usageReports":"%5$s",
                  "vmDirectory":"%5$s","weightStore":"%5$s"},
                 "usageWindowSeconds":2,"addressTimeToLiveMillis":1000,"maximumBodyBytes":65536,"maximumPromptTokens":1000,
                 "operatorToken":{"salt":"%s","hash":"%s"}}
                """.formatted(name, zone, token.salt(), token.hash(), platform));
        entries.add(start(name, DAEMON, "entry", "--settings", settings.toString()));
    }

    private void register(String id, String kind, String zone, String serviceName, String address) {
        String entry = """
                {"id":"%s","kind":"%s","zone":"%s","service":%s,"address":"%s","state":"LIVE","cheap":false}
                """.formatted(id, kind, zone, serviceName == null ? "null" : '"' + serviceName + '"', address);
        expect(send("POST", platform, "/directory", entry), 200);
    }

    private void awaitReady() throws InterruptedException {
        long limit = System.nanoTime() + READY_LIMIT.toNanos();
        for (String address : entryAddresses) {
            while (send("GET", address, "/readyz", "").statusCode() != 200) {
                if (System.nanoTime() > limit) {
                    throw new IllegalStateException(address + " is not ready");
                }
                Thread.sleep(50);
            }
        }
    }

    private void putTemplates() {
        operator("PUT", "services/assistant", """
                {"service":"assistant","kind":"MODEL","models":["assistant"],"adapters":[],"routes":[],"minimumReplicas":1,"maximumReplicas":1,
                 "openRequestsPerSecond":0}""");
        operator("PUT", "services/orders", """
                {"service":"orders","kind":"PLAIN","models":[],"adapters":[],
                 "routes":[{"pathPrefix":"/open","open":true,"repeatable":false}],
                 "minimumReplicas":1,"maximumReplicas":1,"openRequestsPerSecond":100}""");
        operator("PUT", "accounts/yard", """
                {"account":"yard","models":["assistant"],"adapters":[],"services":["orders"],"priority":0,"weight":1.0,
                 "requestsPerSecond":100.0,"tokensPerSecond":100000.0,"concurrentRequests":50}""");
    }

    private String giveKey() {
        JsonNode answer = json(operator("POST", "keys", "{\"account\":\"yard\"}"));
        return answer.get("key").textValue();
    }

    /** Sends a change based on the present revision. */
    HttpResponse<String> operator(String method, String path, String body) {
        JsonNode status = json(expect(
                send("GET", entryAddresses.getFirst(), "/operator/v1/status", "", "Authorization", "Bearer " + TOKEN),
                200));
        HttpResponse<String> answer = send(
                method,
                entryAddresses.getFirst(),
                "/operator/v1/" + path + "?basedOn=" + status.get("revision").asLong(),
                body,
                "Authorization",
                "Bearer " + TOKEN);
        if (answer.statusCode() / 100 != 2) {
            throw new IllegalStateException(path + " answered " + answer.statusCode() + ": " + answer.body());
        }
        return answer;
    }

    /** Sends a request to any address; headers are name and value in turn. */
    HttpResponse<String> send(String method, String address, String path, String body, String... headers) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(30))
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException failure) {
            throw new UncheckedIOException(method + " " + path, failure);
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(stopped);
        }
    }

    private static HttpResponse<String> expect(HttpResponse<String> answer, int status) {
        if (answer.statusCode() != status) {
            throw new IllegalStateException(answer.uri() + " answered " + answer.statusCode() + ": " + answer.body());
        }
        return answer;
    }

    static JsonNode json(HttpResponse<String> answer) {
        try {
            return MAPPER.readTree(answer.body());
        } catch (IOException notJson) {
            throw new UncheckedIOException(answer.body(), notJson);
        }
    }

    String entry(int number) {
        return entryAddresses.get(number - 1);
    }

    RunningProcess entryProcess(int number) {
        return entries.get(number - 1);
    }

    String engine() {
        return engine;
    }

    String service() {
        return service;
    }

    String platform() {
        return platform;
    }

    String key() {
        return key;
    }

    /** Returns everything that the processes have printed and logged. */
    String allOutput() throws IOException {
        StringBuilder output = new StringBuilder();
        try (java.util.stream.Stream<Path> files = Files.list(folder)) {
            for (Path file :
                    files.filter(path -> !path.toString().endsWith(".json")).toList()) {
                output.append(Files.readString(file));
            }
        }
        return output.toString();
    }

    @Override
    public void close() {
        processes.forEach(RunningProcess::kill);
        client.close();
    }
}
