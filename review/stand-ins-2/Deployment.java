import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A small deployment on loopback addresses: the store, the duty API, and gateways as separate processes. */
final class Deployment implements AutoCloseable {

    private static final long START_LIMIT_MILLIS = 25_000;
    private static final int LOWEST_PORT = 12_000;
    private static final int HIGHEST_PORT = 30_000;

    final Store store = new Store();
    final ConcurrentLinkedQueue<String> dutyCalls = new ConcurrentLinkedQueue<>();
    private final Server duties;
    private final Path folder;
    private final List<Gateway> gateways = new ArrayList<>();
    private final Record record;

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-2-");
        this.duties = new Server((request, socket) -> {
            dutyCalls.add(System.currentTimeMillis() + " " + request.target() + " "
                    + request.header("X-Lease-Holder").orElse("none") + " "
                    + request.header("X-Fencing-Token").orElse("none") + " " + request.text());
            Server.respond(socket, 200, Map.of(), new byte[0]);
            return true;
        });
    }

    /** Starts a gateway with the command of the deploy file. */
    Gateway start(String name) throws IOException {
        int[] ports = freePorts(5);
        Path settings = folder.resolve(name + ".yaml");
        Files.writeString(settings, settings(name, ports));
        String command = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(line -> line.startsWith("run = "))
                .map(line -> line.substring("run = \"".length(), line.length() - 1))
                .findFirst()
                .orElseThrow();
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        builder.environment().put("BANYANTALLY_BOOT", settings.toString());
        Path log = folder.resolve(name + ".log");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        Gateway gateway = new Gateway(builder, name, ports, log);
        gateways.add(gateway);
        return gateway;
    }

    /** Writes the settings files again, with the present address of the store, and sends SIGHUP to one gateway. */
    void changeSettings(Gateway signalled) throws IOException, InterruptedException {
        for (Gateway gateway : gateways) {
            Files.writeString(folder.resolve(gateway.name() + ".yaml"), settings(gateway.name(), gateway.ports));
            record.line("the settings file of " + gateway.name() + " names the store at " + store.address());
        }
        signalled.signal("HUP");
        record.line(signalled.name() + " gets SIGHUP");
    }

    private String settings(String name, int[] ports) {
        return """
                node: "%s"
                role: "gateway"
                machineClass: "front"
                serves: ["front", "directory"]
                ip: "127.0.0.1"
                zone: "zone-a"
                region: "region-a"
                zones: {zone-a: "region-a"}
                listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d", directory: "127.0.0.1:%d"}
                internalPorts: [%d, %d]
                initialStart: true
                limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, fileDescriptors: 4100, linkMbps: 1000.0, diskMb: 0}
                discovery: "platform"
                heartbeatMs: 1200
                bounds: {seedLagS: 3, reuseAfterS: 2, stabilityMs: 3000, acknowledgeMs: 4000, catchUpS: 4,
                  drainMs: 2000, graceS: 8, lossSlackMs: 200, configurationMs: 2000, backMs: 250,
                  outerBoundMs: 5000, strictRevocation: false, revocationMs: 5000, budgetRatio: 0.2,
                  budgetWindowS: 10, budgetExtraRetries: 52, requireFencing: false, leaseMs: 3000, thawMs: 300,
                  usageWindowS: 5, usageOff: 0.05, usageLateS: 10, recoveryS: 12, transitMs: 120,
                  cacheReuseS: 3, ttl_max_s: 5}
                platform: {address: "%s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20,
                  valueBytes: 1048576, ttlMinimumMs: 1000}
                cloud: {address: "%s", requestsPerS: 50.0, duties: ["usage_reporting"], dutiesPerS: 50.0}
                """
                .formatted(
                        name, ports[0], ports[1], ports[2], ports[3], ports[3] + 15, store.address(), duties.addressText());
    }

    /** Returns consecutive ports that are free, below those that the system gives to outgoing connections. */
    private static int[] freePorts(int count) {
        while (true) {
            int first = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            int[] ports = IntStream.range(first, first + count).toArray();
            if (IntStream.of(ports).allMatch(Deployment::isFree)) {
                return ports;
            }
        }
    }

    private static boolean isFree(int port) {
        try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
            return socket.isBound();
        } catch (IOException taken) {
            return false;
        }
    }

    /** Ends all processes that still run. */
    @Override
    public void close() throws IOException {
        for (Gateway gateway : gateways) {
            gateway.end();
        }
        store.close();
        duties.close();
        if (System.getenv("KEEP_LOGS") != null) {
            record.line("logs " + folder);
            return;
        }
        try (Stream<Path> files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.delete(file);
            }
        }
        Files.delete(folder);
    }

    /** A gateway process. */
    static final class Gateway {

        private final ProcessBuilder builder;
        private final String name;
        private final int[] ports;
        private final Path log;
        private Process process;

        Gateway(ProcessBuilder builder, String name, int[] ports, Path log) throws IOException {
            this.builder = builder;
            this.name = name;
            this.ports = ports;
            this.log = log;
            this.process = builder.start();
        }

        String name() {
            return name;
        }

        int callersPort() {
            return ports[0];
        }

        int peersPort() {
            return ports[4];
        }

        InetSocketAddress callers() {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), ports[0]);
        }

        Process process() {
            return process;
        }

        /** Starts the process again with the same settings. */
        void startAgain() throws IOException {
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(log);
        }

        boolean isReady() {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), ports[1])) {
                socket.setSoTimeout(1000);
                socket.getOutputStream()
                        .write("GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
                return Message.readResponse(socket.getInputStream())
                        .filter(response -> response.status() == 200)
                        .isPresent();
            } catch (IOException notYet) {
                return false;
            }
        }

        void awaitReady() throws InterruptedException, CannotRunException {
            long until = System.currentTimeMillis() + START_LIMIT_MILLIS;
            while (!isReady()) {
                if (System.currentTimeMillis() > until) {
                    throw new CannotRunException(name + " isn't ready");
                }
                Thread.sleep(50);
            }
        }

        void end() {
            process.destroyForcibly();
            process.onExit().orTimeout(5, TimeUnit.SECONDS).exceptionally(late -> process).join();
        }
    }
}
