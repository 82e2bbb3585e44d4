package io.banyantally.internal.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Cuts the bytes of an event stream after whole events, so that a stream that breaks inside an event can be continued
 * without a torn or repeated event.
 */
final class EventAssembler {

    /** The largest value of the platform's store (1 MiB); an event carries one piece of an answer and is far smaller. */
    private static final int LARGEST_EVENT_BYTES = 1024 * 1024;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private OptionalLong lastEvent;

    /** Creates an assembler for a stream of which the caller already has events up to {@code lastEvent}. */
    EventAssembler(OptionalLong lastEvent) {
        this.lastEvent = lastEvent;
    }

    /** Adds bytes and returns those that complete events; empty if none is complete. */
    Optional<byte[]> add(byte[] bytes, int count) {
        pending.write(bytes, 0, count);
        byte[] all = pending.toByteArray();
        int end = endOfLastEvent(all);
        if (end == 0) {
            return Optional.empty();
        }
        pending.reset();
        pending.write(all, end, all.length - end);
        byte[] whole = Arrays.copyOf(all, end);
        readIds(whole);
        return Optional.of(whole);
    }

    /** Returns whether an event that is not complete yet is longer than any upstream's. */
    boolean isEventTooLong() {
        return pending.size() > LARGEST_EVENT_BYTES;
    }

    /** Returns the bytes after the last whole event, and forgets them. */
    byte[] takeRest() {
        byte[] rest = pending.toByteArray();
        pending.reset();
        return rest;
    }

    /** Returns the id of the last whole event. */
    OptionalLong lastEvent() {
        return lastEvent;
    }

    private static int endOfLastEvent(byte[] bytes) {
        for (int index = bytes.length - 1; index > 0; index--) {
            if (bytes[index] == '\n') {
                boolean blankLine =
                        bytes[index - 1] == '\n' || (index > 2 && bytes[index - 1] == '\r' && bytes[index - 2] == '\n');
                if (blankLine) {
                    return index + 1;
                }
            }
        }
        return 0;
    }

    private void readIds(byte[] events) {
        String text = new String(events, StandardCharsets.UTF_8);
        int last = text.lastIndexOf("\nid:");
        int at = last >= 0 ? last + 1 : text.startsWith("id:") ? 0 : -1;
        if (at < 0) {
            return;
        }
        int end = text.indexOf('\n', at);
        try {
            lastEvent =
                    OptionalLong.of(Long.parseLong(text.substring(at + 3, end).strip()));
        } catch (NumberFormatException notANumber) {
            // A stream without numbers cannot be continued; it is still passed on.
            lastEvent = OptionalLong.empty();
        }
    }
}
