package io.banyantally.internal.logging;

import io.banyantally.internal.timeline.Event;
import io.banyantally.internal.timeline.EventField;
import java.util.List;
import java.util.Locale;
import java.util.logging.Handler;
import org.jboss.logging.Logger;

/** Writes one line of key=value pairs for each event. Values with spaces or quotes are quoted. */
public final class EventLog {

    private final Logger logger;

    private EventLog(Logger logger) {
        this.logger = logger;
    }

    /** Returns the log of a class. */
    public static EventLog of(Class<?> source) {
        return new EventLog(Logger.getLogger(source));
    }

    /** Waits for queued lines to be written; call before the process halts, which drops unwritten lines. */
    public static void flush() {
        for (Handler handler : java.util.logging.Logger.getLogger("").getHandlers()) {
            handler.flush();
        }
    }

    /** Logs an event of normal operation. */
    public void info(String event, EventField... fields) {
        logger.info(line(event, List.of(fields)));
    }

    /** Logs an event that operators may have to look at. */
    public void warn(String event, EventField... fields) {
        logger.warn(line(event, List.of(fields)));
    }

    /** Logs an event that operators must look at, with its cause. */
    public void error(String event, Throwable cause, EventField... fields) {
        logger.error(line(event, List.of(fields)), cause);
    }

    /** Logs an event of the time line with its cause and id. */
    public void timeline(Event event) {
        logger.info(line(event.kind().name().toLowerCase(Locale.ROOT), event.fields())
                + event.cause().map(cause -> " cause=" + cause).orElse("") + " id=" + event.id());
    }

    private static String line(String event, List<EventField> fields) {
        StringBuilder line = new StringBuilder("event=").append(event);
        for (EventField field : fields) {
            line.append(' ').append(field.name()).append('=').append(quoted(field.value()));
        }
        return line.toString();
    }

    private static String quoted(String value) {
        boolean plain = !value.isEmpty() && value.chars().noneMatch(c -> c <= ' ' || c == '"' || c == '=');
        if (plain) {
            return value;
        }
        return '"'
                + value.replace("\\", "\\\\")
                        .replace("\"", "\\\"")
                        .replace("\n", "\\n")
                        .replace("\r", "\\r")
                + '"';
    }
}
