package io.banyantally.daemon;

import io.banyantally.internal.logging.LogLine;
import io.banyantally.internal.logging.RequestExplanation;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CodingErrorAction;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the history of a request from the logs of all VMs. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description = {
            "Merges the logs of all VMs into the history of one request.",
            "Times are relative to the log line of the request, by the VMs' clocks; absolute if there is none.",
            "Exit codes: 0 if a VM wrote a line for the request, 1 if none did, 2 if a file cannot be read."
        })
final class ExplainCommand implements Callable<Integer> {

    private static final double MILLIS_PER_SECOND = 1000;
    private static final int NOT_FOUND = 1;
    private static final int UNREADABLE = 2;

    @Option(names = "--request", required = true, description = "The request's id, as its caller sent it.")
    private String request;

    @Parameters(arity = "1..*", paramLabel = "FILE", description = "Logs, one file for each VM.")
    private List<Path> files;

    @Override
    public Integer call() {
        List<LogLine> log = new ArrayList<>();
        for (Path file : files) {
            try {
                log.addAll(read(file));
            } catch (IOException unreadable) {
                System.err.println(file + ": cannot be read: " + unreadable);
                return UNREADABLE;
            }
        }
        RequestExplanation explanation = RequestExplanation.of(request, log);
        System.out.println(explanation.cause());
        explanation.lines().forEach(line -> System.out.println(text(explanation, line)));
        return explanation.request().isPresent() ? 0 : NOT_FOUND;
    }

    /** Reads a log; replaces bytes that are not UTF-8, since the last line of a killed process may be incomplete. */
    private static List<LogLine> read(Path file) throws IOException {
        String source = file.getFileName().toString();
        byte[] bytes = Files.readAllBytes(file);
        String text = StandardCharsets.UTF_8
                .newDecoder()
                .onMalformedInput(CodingErrorAction.REPLACE)
                .decode(ByteBuffer.wrap(bytes))
                .toString();
        try (Stream<String> lines = text.lines()) {
            return lines.flatMap(line -> LogLine.parse(source, line).stream()).toList();
        }
    }

    private static String text(RequestExplanation explanation, LogLine line) {
        String time = explanation
                .request()
                .map(request -> Duration.between(request.time(), line.time()).toMillis() / MILLIS_PER_SECOND)
                .map(seconds -> String.format(Locale.ROOT, "%+9.3f s", seconds))
                .orElseGet(line.time()::toString);
        String fields = line.fields().entrySet().stream()
                .filter(field -> !field.getKey().equals("level"))
                .map(field -> field.getKey() + "=" + field.getValue())
                .collect(Collectors.joining(" "));
        return String.join("  ", time, line.source(), line.event(), fields);
    }
}
