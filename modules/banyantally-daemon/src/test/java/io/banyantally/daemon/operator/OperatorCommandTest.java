package io.banyantally.daemon.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.banyantally.internal.configuration.ConfigurationPart;
import io.banyantally.internal.configuration.KeyGenerator;
import io.banyantally.internal.configuration.KeyRefusedException;
import io.banyantally.internal.configuration.Pause;
import io.banyantally.internal.configuration.SaltedHash;
import io.banyantally.internal.invariant.Invariants;
import io.banyantally.internal.operator.OperatorHandler;
import io.banyantally.internal.peer.Peer;
import io.banyantally.internal.time.MonotonicClock;
import io.banyantally.internal.timeline.Timeline;
import io.banyantally.model.AvailabilityZone;
import io.banyantally.model.Incarnation;
import io.banyantally.model.VmId;
import io.banyantally.platform.InMemoryKeyValueStore;
import io.banyantally.testing.FakePeerHub;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** Tests the operators' commands against the HTTP handler of an entry daemon; three VMs replicate the configuration. */
final class OperatorCommandTest {

    private static final String TOKEN = "operators-token";
    private static final long START_TIMEOUT_MILLIS = 20_000;
    private static final String ACCOUNT = """
            {"account": "port-north", "models": ["manual"], "adapters": [], "services": [], "priority": 1,
             "weight": 1, "requestsPerSecond": 10, "tokensPerSecond": 1000, "concurrentRequests": 4}
            """;

    @TempDir
    private Path folder;

    private final List<ConfigurationPart> parts = new ArrayList<>();
    private Server server;
    private StringWriter out;
    private StringWriter err;

    @BeforeEach
    void start() throws Exception {
        InMemoryKeyValueStore store = new InMemoryKeyValueStore(MonotonicClock.SYSTEM);
        FakePeerHub hub = new FakePeerHub();
        for (int index = 0; index < 3; index++) {
            parts.add(part(new VmId("vm-" + index), store, hub));
        }
        parts.forEach(ConfigurationPart::start);
        server = new Server();
        ServerConnector connector = new ServerConnector(server);
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        OperatorHandler handler = new OperatorHandler(
                SaltedHash.of(TOKEN, new SecureRandom()),
                parts.getFirst().editor(),
                new KeyGenerator(new SecureRandom()));
        handler.register("vms", () -> JsonNodeFactory.instance.objectNode().put("live", 3));
        server.setHandler(handler);
        server.start();
        Files.writeString(folder.resolve("token"), TOKEN + "\n");
        awaitRoster();
    }

    private static ConfigurationPart part(VmId vm, InMemoryKeyValueStore store, FakePeerHub hub) {
        Peer self = new Peer(vm, Incarnation.draw(), new AvailabilityZone("zone"));
        Timeline timeline = new Timeline(vm, self.incarnation(), 100, event -> {});
        return new ConfigurationPart(
                self,
                store,
                hub.join(self),
                MonotonicClock.SYSTEM,
                timeline,
                new Invariants(new MetricRegistry(), timeline),
                Thread::startVirtualThread,
                Pause.SLEEP);
    }

    private void awaitRoster() throws InterruptedException {
        long start = System.nanoTime();
        while (parts.getFirst().view().current().roster().size() < 3) {
            assertTrue(
                    (System.nanoTime() - start) / 1_000_000 < START_TIMEOUT_MILLIS, "the VMs did not join the roster");
            Thread.sleep(20);
        }
    }

    @AfterEach
    void stop() throws Exception {
        server.stop();
        for (ConfigurationPart part : parts) {
            part.stop();
        }
    }

    private int run(String... arguments) {
        List<String> all = new ArrayList<>(List.of(arguments));
        all.addAll(List.of(
                "--address",
                server.getURI().toString(),
                "--token-file",
                folder.resolve("token").toString()));
        return runPlain(all.toArray(String[]::new));
    }

    private int runPlain(String... arguments) {
        out = new StringWriter();
        err = new StringWriter();
        return new CommandLine(new OperatorCommand())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(arguments);
    }

    private JsonNode json() throws Exception {
        return new ObjectMapper().readTree(out.toString());
    }

    private String file(String name, String content) throws Exception {
        return Files.writeString(folder.resolve(name), content).toString();
    }

    /**
     * Guards against a key that is not accepted by each VM after its creation, or still accepted after its withdrawal.
     */
    @Test
    void accountAndKeyAreAddedUsedAndWithdrawn() throws Exception {
        String account = file("account.json", ACCOUNT);
        assertEquals(0, run("account", "validate", "port-north", "--file", account), err::toString);
        assertEquals(0, run("account", "put", "port-north", "--file", account, "--based-on", "0"), err::toString);
        assertEquals(0, run("key", "give", "port-north", "--based-on", "0", "--output", "json"), err::toString);
        Optional<String> header = Optional.of("Bearer " + json().get("key").asText());
        String keyId = json().get("keyId").asText();
        for (ConfigurationPart part : parts) {
            assertEquals(
                    "port-north", part.keyVerifier().verify(header).account().value());
        }
        assertEquals(0, run("key", "list", "--account", "port-north"));
        assertTrue(out.toString().contains(keyId));
        assertEquals(0, run("key", "withdraw", keyId, "--based-on", "0"), err::toString);
        for (ConfigurationPart part : parts) {
            assertFalse(isAccepted(part, header));
        }
    }

    private static boolean isAccepted(ConfigurationPart part, Optional<String> header) {
        try {
            part.keyVerifier().verify(header);
            return true;
        } catch (KeyRefusedException refused) {
            return false;
        }
    }

    /**
     * Guards against a concurrent change that is overwritten without a conflict, or a conflict that shows one version
     * only.
     */
    @Test
    void concurrentChangeExitsWithConflictAndShowsBothVersions() throws Exception {
        String first = file("first.json", ACCOUNT);
        String second = file("second.json", ACCOUNT.replace("\"priority\": 1", "\"priority\": 77"));
        assertEquals(0, run("account", "put", "port-north", "--file", first, "--based-on", "0"), err::toString);
        assertEquals(0, run("account", "diff", "port-north", "--file", second));
        assertTrue(out.toString().contains("/priority"));
        assertEquals(3, run("account", "put", "port-north", "--file", second, "--based-on", "0"));
        assertTrue(err.toString().contains("priority: 77"), err::toString);
        assertTrue(err.toString().contains("priority: 1\n"), err::toString);
    }

    /** Guards against an error report that names only the first problem of a document. */
    @Test
    void allProblemsOfADocumentAreReported() throws Exception {
        String wrong = file("wrong.json", """
                {"service": "advisor", "kind": "magic", "models": "manual", "adapters": [3], "routes": [{"open": 1}],
                 "minimumReplicas": 3, "maximumReplicas": 1, "surprise": true}
                """);
        assertEquals(1, run("service", "validate", "advisor", "--file", wrong, "--output", "json"));
        List<String> paths = new ArrayList<>();
        json().get("problems").forEach(problem -> paths.add(problem.get("path").asText()));
        for (String path : new String[] {
            "/kind",
            "/models",
            "/adapters/0",
            "/routes/0/pathPrefix",
            "/routes/0/open",
            "/routes/0/repeatable",
            "/maximumReplicas",
            "/openRequestsPerSecond",
            "/surprise"
        }) {
            assertTrue(paths.contains(path), path + " is missing among " + paths);
        }
    }

    /** Guards against access without a valid operator token. */
    @Test
    void wrongTokenIsRefused() throws Exception {
        Files.writeString(folder.resolve("token"), "guess");
        assertEquals(1, run("account", "list"));
        assertTrue(err.toString().contains("not_authorized"), err::toString);
    }

    /** Guards against unreachable status and roster commands, and against wrong exit codes. */
    @Test
    void statusRosterAndUsageErrorsReturnTheirExitCodes() throws Exception {
        assertEquals(0, run("status", "vms"));
        assertTrue(out.toString().contains("live: 3"));
        assertEquals(0, run("roster"));
        assertTrue(out.toString().contains("vm-2"));
        assertEquals(1, run("account", "get", "nobody"));
        assertEquals(2, run("account", "put", "port-north"));
        assertEquals(2, runPlain());
        assertEquals(0, runPlain("account", "put", "--help"));
        assertTrue(out.toString().contains("--based-on"));
    }
}
