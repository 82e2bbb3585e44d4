package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** One process of the gateway, started with the command of the deploy file. */
final class GatewayProcess implements AutoCloseable {

    private static final int ADDRESSES = 5;

    private final String name;
    private final int firstPort;
    private final Process process;
    private final Path log;

    GatewayProcess(String name, Path folder, String platformAddress) throws IOException {
        this.name = name;
        firstPort = freePorts();
        Path settings = folder.resolve(name + ".yaml");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, settings(platformAddress));
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().put("BANYANTALLY_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
    }

    /** Returns the command of the deploy file, whose working folder is the root of the repository. */
    private static List<String> command() throws IOException {
        String line = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                .filter(text -> text.startsWith("run = "))
                .findFirst()
                .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return new ArrayList<>(Arrays.asList(command.split(" ", -1)));
    }

    private String settings(String platformAddress) {
        return """
                node: "%1$s"
                role: "gateway"
                machineClass: "front"
                serves: ["front", "directory"]
                ip: "127.0.0.1"
                zone: "zone-a"
                region: "region-a"
                zones: {zone-a: "region-a"}
                listen:
                  front: "127.0.0.1:%2$d"
                  ready: "127.0.0.1:%3$d"
                  directory: "127.0.0.1:%4$d"
                internalPorts: [%5$d, %6$d]
                initialStart: true
                limits: {cpuShare: 0.75, cores: 1, memoryMb: 430, fileDescriptors: 4100, linkMbps: 1000.0, diskMb: 0}
                heartbeatMs: 1200
                bounds: {seedLagS: 3, reuseAfterS: 2, stabilityMs: 3000, acknowledgeMs: 4000, catchUpS: 4, drainMs: 2000,
                  graceS: 8, lossSlackMs: 200, configurationMs: 2000, backMs: 250, outerBoundMs: 5000,
                  strictRevocation: false, revocationMs: 5000, budgetRatio: 0.2, budgetWindowS: 10,
                  budgetExtraRetries: 52, requireFencing: false, leaseMs: 3000, thawMs: 300, usageWindowS: 5,
                  usageOff: 0.05, usageLateS: 10, recoveryS: 12, transitMs: 120, cacheReuseS: 3, ttl_max_s: 5}
                platform: {address: "%7$s", form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20,
                  valueBytes: 1048576, ttlMinimumMs: 1000}
                cloud: {address: "%7$s", requestsPerS: 50.0, dutiesPerS: 50.0}
                """.formatted(
                        name, firstPort, firstPort + 1, firstPort + 2, firstPort + 3, firstPort + 4, platformAddress);
    }

    String name() {
        return name;
    }

    /** Returns the port for callers. */
    int callersPort() {
        return firstPort;
    }

    Path log() {
        return log;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Sends a signal such as STOP, CONT, TERM or KILL. */
    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!isReady()) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IllegalStateException(name + " did not become ready");
            }
            Thread.sleep(50);
        }
    }

    /** Returns whether the readiness check answers 200 within a second. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), firstPort + 1), 1000);
            socket.setSoTimeout(1000);
            socket.getOutputStream()
                    .write("GET /-/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n".getBytes());
            Optional<HttpMessage> answer = HttpMessage.read(socket.getInputStream());
            return answer.isPresent() && answer.get().status() == 200;
        } catch (IOException notReady) {
            return false;
        }
    }

    private static int freePorts() throws IOException {
        for (int first = 20_000 + (int) (Math.random() * 10_000); ; first += ADDRESSES) {
            boolean free = true;
            for (int port = first; port < first + ADDRESSES; port++) {
                try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                    free &= socket.isBound();
                } catch (IOException taken) {
                    free = false;
                }
            }
            if (free) {
                return first;
            }
        }
    }

    @Override
    public void close() {
        process.destroyForcibly().onExit().join();
    }
}
