package io.banyantally.internal.forwarding;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Splits the bytes of an event stream at event boundaries, so that a stream that breaks inside an event can be resumed
 * without a truncated or repeated event.
 */
final class EventAssembler {

    /**
     * The largest value of the platform's store (1 MiB); an event carries one part of a response and is far smaller.
     */
    private static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    /** Adding to an event takes a buffer of up to twice its size and a copy. */
    private static final int COPIES = 3;

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private OptionalLong lastEventId;

    /** Creates an assembler for a stream of which the caller already has events up to {@code lastEventId}. */
    EventAssembler(OptionalLong lastEventId) {
        this.lastEventId = lastEventId;
    }

    /** Adds bytes and returns the bytes of all events that are complete now; empty if none is. */
    Optional<byte[]> add(byte[] bytes, int count) {
        pending.write(bytes, 0, count);
        byte[] all = pending.toByteArray();
        int end = endOfLastCompleteEvent(all);
        if (end == 0) {
            return Optional.empty();
        }
        pending.reset();
        pending.write(all, end, all.length - end);
        byte[] complete = Arrays.copyOf(all, end);
        readLastEventId(complete);
        return Optional.of(complete);
    }

    /** Returns the memory that the incomplete event takes, in bytes. */
    long memoryBytes() {
        return (long) COPIES * pending.size();
    }

    /** Returns whether the incomplete event is longer than events may be. */
    boolean isEventTooLong() {
        return pending.size() > MAXIMUM_EVENT_BYTES;
    }

    /** Removes and returns the bytes after the last complete event. */
    byte[] takeIncompleteEvent() {
        byte[] rest = pending.toByteArray();
        pending.reset();
        return rest;
    }

    /** Returns the id of the last complete event; empty if it is not a number. */
    OptionalLong lastEventId() {
        return lastEventId;
    }

    private static int endOfLastCompleteEvent(byte[] bytes) {
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

    private void readLastEventId(byte[] events) {
        String text = new String(events, StandardCharsets.UTF_8);
        int lastIdLine = text.lastIndexOf("\nid:");
        int idLine = lastIdLine >= 0 ? lastIdLine + 1 : text.startsWith("id:") ? 0 : -1;
        if (idLine < 0) {
            return;
        }
        int end = text.indexOf('\n', idLine);
        try {
            lastEventId = OptionalLong.of(
                    Long.parseLong(text.substring(idLine + 3, end).strip()));
        } catch (NumberFormatException notANumber) {
            // A stream without numeric ids cannot be resumed; it is still forwarded.
            lastEventId = OptionalLong.empty();
        }
    }
}
