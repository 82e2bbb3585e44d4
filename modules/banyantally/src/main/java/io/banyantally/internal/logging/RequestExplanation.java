package io.banyantally.internal.logging;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

/**
 * An explanation of one request from the logs of all VMs: its own line, events of its upstreams and of its VM while it
 * ran, and, if it found no upstream, earlier changes of the fleet.
 *
 * @param request the request's own line; empty if no VM logged one
 * @param lines the lines that explain it, in the order of their times
 * @param cause one sentence on why it ended as it did
 */
public record RequestExplanation(Optional<LogLine> request, List<LogLine> lines, String cause) {

    /** Ejections and changes of the fleet affect requests for seconds after they were logged. */
    private static final Duration TIME_BEFORE_REQUEST = Duration.ofSeconds(10);

    /** The clocks of two VMs may differ by this much, and an ejection follows the failure that caused it. */
    private static final Duration TIME_AFTER_REQUEST = Duration.ofSeconds(1);

    private static final Set<String> FLEET_EVENTS =
            Set.of("upstreams_ordered", "stage_ordered", "upstream_listed", "upstream_gone", "upstream_changed");

    private static final Set<String> VM_EVENTS = Set.of(
            "started",
            "draining",
            "stopped",
            "dependency_lost",
            "dependency_regained",
            "log_lines_dropped",
            "settings_read",
            "request_fault");

    /** Events that concern only the VM that logs them; equal lines of several VMs are all listed. */
    private static final Set<String> PER_VM_EVENTS =
            Set.of("started", "draining", "stopped", "dependency_lost", "dependency_regained", "request");

    /** Events that indicate the loss of a VM. */
    private static final Set<String> VM_LOSS_EVENTS = Set.of("vm_gone", "vm_listed", "started", "draining", "stopped");

    /** Copies the lines. */
    public RequestExplanation {
        lines = List.copyOf(lines);
    }

    /** Explains a request from the lines of all logs. */
    public static RequestExplanation of(String requestId, List<LogLine> log) {
        List<LogLine> own = log.stream()
                .filter(line -> line.event().equals("request")
                        && line.field("request").filter(requestId::equals).isPresent())
                .sorted(Comparator.comparing(LogLine::time))
                .toList();
        if (own.isEmpty()) {
            return new RequestExplanation(
                    Optional.empty(),
                    sorted(log, line -> VM_LOSS_EVENTS.contains(line.event())),
                    "No VM wrote a line for this request: it never arrived, its VM was lost before the request ended, or"
                            + " its log is not among these files.");
        }
        LogLine request = own.getLast();
        Instant end = request.time().plus(TIME_AFTER_REQUEST);
        Instant start = request.time().minus(duration(request)).minus(TIME_BEFORE_REQUEST);
        Set<String> upstreams = upstreams(request);
        boolean fleetMatters = Set.of("full", "no_upstream").contains(outcome(request));
        Predicate<LogLine> explains = line -> {
            boolean sameVm = line.source().equals(request.source());
            boolean inTime = !line.time().isBefore(start) && !line.time().isAfter(end);
            boolean adoption = line.event().equals("configuration_adopted")
                    && line.field("version").equals(request.field("configuration"));
            boolean sameUpstream =
                    line.field("upstream").filter(upstreams::contains).isPresent();
            boolean ofVm = sameVm && VM_EVENTS.contains(line.event());
            boolean ofFleet = fleetMatters
                    && FLEET_EVENTS.contains(line.event())
                    && line.time().isBefore(request.time());
            return own.contains(line) || (sameVm && adoption) || (inTime && (sameUpstream || ofVm || ofFleet));
        };
        return new RequestExplanation(Optional.of(request), sorted(log, explains), cause(request));
    }

    /**
     * Returns the matching lines in the order of their times; an event that several VMs logged alike is listed once.
     */
    private static List<LogLine> sorted(List<LogLine> log, Predicate<LogLine> filter) {
        Set<EventKey> seen = new HashSet<>();
        return log.stream()
                .filter(filter)
                .sorted(Comparator.comparing(LogLine::time))
                .filter(line ->
                        PER_VM_EVENTS.contains(line.event()) || seen.add(new EventKey(line.event(), line.fields())))
                .toList();
    }

    private static String outcome(LogLine request) {
        return request.field("outcome").orElse("unknown");
    }

    private static Duration duration(LogLine request) {
        String millis = request.field("total_ms").orElse("0");
        return millis.matches("\\d{1,9}") ? Duration.ofMillis(Long.parseLong(millis)) : Duration.ZERO;
    }

    private static Set<String> upstreams(LogLine request) {
        Set<String> upstreams = new HashSet<>();
        request.fields().forEach((name, value) -> {
            if (name.equals("prefill") || name.matches("upstream\\d+")) {
                upstreams.add(value);
            }
        });
        return upstreams;
    }

    private static String cause(LogLine request) {
        String detail = request.field("detail").map(text -> " (" + text + ")").orElse("");
        return switch (outcome(request)) {
            case "served" -> "The request was served.";
            case "full" ->
                "Refused without having run: the shortest wait was "
                        + request.field("wait_ms").orElse("unknown")
                        + " ms. The changes of the fleet before it are listed.";
            case "no_configuration" -> "Refused without having run: the VM did not know a configuration yet.";
            case "upstream_refused", "no_other_upstream" ->
                "No further upstream took it" + detail + "; " + sends(request);
            case "upstream_error" ->
                "The upstream failed the request itself, and its answer was passed on; " + sends(request);
            case "cut" -> "The answer was cut because it could not be completed" + detail + "; " + sends(request);
            case "upstreams_waiting" ->
                "Refused without having run: all upstreams had asked for no requests for some time.";
            case "upstreams_limited" ->
                "Refused without having run: the limits that all upstreams had named left no request for it.";
            case "no_memory" ->
                "Refused without having run: bodies of other requests left no memory for this one" + detail + ".";
            case "no_upstream" -> "Refused without having run: no listed upstream took work.";
            case "draining" -> "Refused without having run: the VM was shutting down.";
            case "upstream_failed" -> "The last upstream did not answer completely" + detail + "; " + sends(request);
            case "timed_out" -> "The route's timeout passed; " + sends(request);
            case "caller_gone" -> "The caller closed the connection; " + sends(request);
            default -> "Ended as " + outcome(request) + detail + ".";
        };
    }

    /** Lists the upstreams that the request was sent to, with each result. */
    private static String sends(LogLine request) {
        List<String> sends = new ArrayList<>();
        request.field("prefill")
                .ifPresent(engine -> sends.add("prompt read at " + engine + ": "
                        + request.field("prefill_result").orElse("no result")));
        for (int attempt = 1; request.field("upstream" + attempt).isPresent(); attempt++) {
            sends.add("sent to " + request.field("upstream" + attempt).get() + ": "
                    + request.field("result" + attempt).orElse("no result"));
        }
        return sends.isEmpty() ? "it had not been sent." : String.join(", ", sends) + ".";
    }

    private record EventKey(String event, Map<String, String> fields) {}
}
