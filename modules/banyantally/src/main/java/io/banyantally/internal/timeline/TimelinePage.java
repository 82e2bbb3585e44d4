package io.banyantally.internal.timeline;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Locale;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Renders merged events as one self-contained HTML page: a column for each VM, the newest event last. */
public final class TimelinePage {

    private static final String TEMPLATE = "timeline.html";

    private TimelinePage() {}

    /** Renders events that {@link TimelineMerger} has ordered. */
    public static String render(List<Event> events) {
        List<String> vms = List.copyOf(new TreeSet<>(
                events.stream().map(event -> event.id().vm().value()).toList()));
        String header = vms.stream().map(vm -> "<th>" + escape(vm) + "</th>").collect(Collectors.joining());
        StringBuilder rows = new StringBuilder();
        events.forEach(event -> appendRow(rows, event, vms));
        return template().replace("%VMS%", header).replace("%ROWS%", rows).replace("%COUNT%", "" + events.size());
    }

    private static void appendRow(StringBuilder rows, Event event, List<String> vms) {
        String kind = event.kind().name().toLowerCase(Locale.ROOT);
        rows.append("<tr id=\"")
                .append(escape(event.id().toString()))
                .append("\"><td class=time>")
                .append(Instant.ofEpochMilli(event.wallClockMillis()))
                .append("</td>");
        for (String vm : vms) {
            rows.append("<td>");
            if (vm.equals(event.id().vm().value())) {
                rows.append("<div class=\"event ")
                        .append(kind)
                        .append("\" title=\"")
                        .append(escape(event.id().toString()))
                        .append("\"><b>")
                        .append(kind.replace('_', ' '))
                        .append("</b> ")
                        .append(details(event))
                        .append("</div>");
            }
            rows.append("</td>");
        }
        rows.append("</tr>\n");
    }

    private static String details(Event event) {
        String fields = event.fields().stream()
                .map(field -> escape(field.name()) + "=" + escape(field.value()))
                .collect(Collectors.joining(" "));
        return fields
                + event.cause()
                        .map(cause -> " <a href=\"#" + escape(cause.toString()) + "\">cause</a>")
                        .orElse("");
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;")
                .replace("<", "&lt;")
                .replace(">", "&gt;")
                .replace("\"", "&quot;");
    }

    private static String template() {
        try (InputStream input = TimelinePage.class.getResourceAsStream(TEMPLATE)) {
            return new String(input.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException failure) {
            throw new UncheckedIOException("cannot read " + TEMPLATE, failure);
        }
    }
}
