package io.banyantally.standins.platform;

import io.banyantally.platform.DirectoryEntry;
import io.banyantally.platform.VmKind;
import io.banyantally.standins.BadRequestException;
import io.banyantally.standins.StandInExchange;
import io.banyantally.standins.StandInServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

/** The platform stand-in: five interfaces on one port, and fault injection under {@code /control}. */
public final class PlatformStandIn implements AutoCloseable {

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final String FAULT_PATH = "/control/faults/";

    private final Map<PlatformInterface, InterfaceFaults> faults = new EnumMap<>(PlatformInterface.class);
    private final CallCounts counts = new CallCounts();
    private final ViolationLog violations = new ViolationLog();
    private final KeyValueHandler keyValue = new KeyValueHandler();
    private final UsageHandler usage = new UsageHandler(violations);
    private final OrderingHandler ordering;
    private final WeightHandler weights;
    private final DirectoryHandler directory;
    private final StandInServer server;

    private PlatformStandIn(int port, OrderingOptions ordering, double weightReadsPerSecond, long directoryLagMillis)
            throws IOException {
        for (PlatformInterface platformInterface : PlatformInterface.values()) {
            faults.put(platformInterface, new InterfaceFaults());
        }
        this.ordering = new OrderingHandler(ordering, violations);
        this.weights = new WeightHandler(weightReadsPerSecond);
        this.directory = new DirectoryHandler(directoryLagMillis);
        this.server = StandInServer.start(port, IDLE_TIMEOUT, this::handle);
    }

    /** Starts the platform stand-in; port 0 takes any free port. */
    public static PlatformStandIn start(
            int port, OrderingOptions ordering, double weightReadsPerSecond, long directoryLagMillis)
            throws IOException {
        return new PlatformStandIn(port, ordering, weightReadsPerSecond, directoryLagMillis);
    }

    /** Returns the address on which it listens. */
    public InetSocketAddress address() {
        return server.address();
    }

    StandInServer server() {
        return server;
    }

    /** Sets the faults of an interface, as {@code POST /control/faults/<interface>} does. */
    public void setFaults(PlatformInterface platformInterface, FaultSettings settings) {
        faults.get(platformInterface).set(settings);
    }

    /** Returns the report of {@code GET /control/report}. */
    public PlatformReport report() {
        return new PlatformReport(
                counts.all(), ordering.log(), ordering.all(), usage.log(), directory.list(), violations.all());
    }

    private void handle(StandInExchange exchange) throws IOException, InterruptedException {
        if (exchange.path().startsWith("/control/")) {
            control(exchange);
            return;
        }
        Optional<PlatformInterface> platformInterface = interfaceOf(exchange.path());
        if (platformInterface.isEmpty()) {
            exchange.answer(404, "no interface of the platform has path " + exchange.path());
            return;
        }
        counts.count(exchange.method() + " " + exchange.path());
        serve(platformInterface.get(), exchange);
    }

    private void serve(PlatformInterface platformInterface, StandInExchange exchange)
            throws IOException, InterruptedException {
        InterfaceFaults fault = faults.get(platformInterface);
        FaultSettings settings = fault.settings();
        if (settings.down()) {
            exchange.dropConnection();
            return;
        }
        Thread.sleep(settings.delayMillis());
        Answer answer = switch (platformInterface) {
            case KEY_VALUE -> keyValue.handle(exchange);
            case UPSTREAMS -> handleUpstreams(exchange);
            case USAGE_REPORTS -> usage.handle(exchange);
            case WEIGHTS -> weights.handle(exchange);
            case DIRECTORY -> handleDirectory(exchange);
        };
        Thread.sleep(settings.answerDelayMillis());
        if (fault.shouldLoseAnswer()) {
            exchange.dropConnection();
            return;
        }
        exchange.answer(answer.status(), answer.message());
    }

    /** Lists an upstream that is posted to the directory as ordered, as if ordered before this process started. */
    private Answer handleDirectory(StandInExchange exchange) throws IOException {
        Answer answer = directory.handle(exchange);
        if (answer.message() instanceof DirectoryEntry entry && entry.kind() != VmKind.ENTRY) {
            ordering.adopt(entry);
        }
        return answer;
    }

    /** Removes upstreams that are given back from the directory. */
    private Answer handleUpstreams(StandInExchange exchange) throws IOException {
        Answer answer = ordering.handle(exchange);
        ordering.drainGivenBack().forEach(directory::remove);
        return answer;
    }

    private static Optional<PlatformInterface> interfaceOf(String path) {
        return Arrays.stream(PlatformInterface.values())
                .filter(platformInterface -> path.equals("/" + platformInterface.segment())
                        || path.startsWith("/" + platformInterface.segment() + "/"))
                .findFirst();
    }

    private void control(StandInExchange exchange) throws IOException {
        String path = exchange.path();
        if (path.equals("/control/report")) {
            exchange.answer(200, report());
            return;
        }
        if (path.startsWith(FAULT_PATH)) {
            PlatformInterface platformInterface = interfaceOf("/" + path.substring(FAULT_PATH.length()))
                    .orElseThrow(() -> new BadRequestException("interface in " + path + " is unknown; use one of "
                            + Arrays.stream(PlatformInterface.values())
                                    .map(PlatformInterface::segment)
                                    .toList()));
            setFaults(platformInterface, exchange.body(FaultSettings.class));
        } else {
            applySetting(exchange);
        }
        exchange.answer(200, "set");
    }

    private void applySetting(StandInExchange exchange) throws IOException {
        switch (exchange.path()) {
            case "/control/cheap" ->
                ordering.setCheapAvailable(
                        exchange.requiredParameter("zone"),
                        Boolean.parseBoolean(exchange.requiredParameter("available")));
            case "/control/directory-lag" -> directory.setLagMillis(number(exchange.requiredParameter("millis")));
            case "/control/weights" ->
                weights.setVersions(
                        exchange.requiredParameter("model"),
                        Arrays.asList(exchange.requiredParameter("versions").split(",", -1)));
            default ->
                throw new BadRequestException("path " + exchange.path() + " is unknown; use /control/report, "
                        + "/control/faults/<interface>, /control/cheap, /control/directory-lag or /control/weights");
        }
    }

    private static long number(String text) throws BadRequestException {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException failure) {
            throw new BadRequestException("'" + text + "' is not a number");
        }
    }

    @Override
    public void close() {
        server.close();
    }
}
