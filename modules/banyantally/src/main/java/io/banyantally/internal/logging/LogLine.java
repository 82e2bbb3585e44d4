package io.banyantally.internal.logging;

import java.time.DateTimeException;
import java.time.Instant;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * One structured line of a process's log.
 *
 * @param source the log's name, such as its file
 * @param time when the line was written, by the clock of its VM
 * @param event the name of the event
 * @param fields all other fields in their order
 */
public record LogLine(String source, Instant time, String event, Map<String, String> fields) {

    private static final Pattern FIELD = Pattern.compile("([A-Za-z0-9_]+)=(\"(?:[^\"\\\\]|\\\\.)*\"|[^\\s\"]*)");
    private static final Pattern ESCAPED = Pattern.compile("\\\\(.)");

    /** Copies the fields. */
    public LogLine {
        Objects.requireNonNull(source, "source");
        Objects.requireNonNull(time, "time");
        Objects.requireNonNull(event, "event");
        fields = Collections.unmodifiableMap(new LinkedHashMap<>(fields));
    }

    /** Parses a line; empty if it has no time or event, such as a line of a stack trace. */
    public static Optional<LogLine> parse(String source, String text) {
        Map<String, String> fields = new LinkedHashMap<>();
        Matcher matcher = FIELD.matcher(text);
        while (matcher.find()) {
            fields.putIfAbsent(matcher.group(1), unquoted(matcher.group(2)));
        }
        String time = fields.remove("time");
        String event = fields.remove("event");
        if (time == null || event == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(new LogLine(source, Instant.parse(time), event, fields));
        } catch (DateTimeException unreadable) {
            return Optional.empty();
        }
    }

    /** Returns the value of a field; empty if the line does not have it. */
    public Optional<String> field(String name) {
        return Optional.ofNullable(fields.get(name));
    }

    private static String unquoted(String value) {
        if (!value.startsWith("\"")) {
            return value;
        }
        String inner = value.substring(1, value.length() - 1);
        return ESCAPED.matcher(inner).replaceAll(match -> switch (match.group(1)) {
            case "n" -> "\n";
            case "r" -> "\r";
            default -> Matcher.quoteReplacement(match.group(1));
        });
    }
}
