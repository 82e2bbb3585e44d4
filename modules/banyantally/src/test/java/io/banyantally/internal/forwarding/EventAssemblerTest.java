package io.banyantally.internal.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class EventAssemblerTest {

    private static final String STREAM = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 13\r\ndata: c\r\n\r\n";

    /** Guards against forwarding a part of an event that another upstream then sends again from its start. */
    @Test
    void holdsBackAnIncompleteEvent() {
        EventAssembler assembler = new EventAssembler(OptionalLong.empty());
        byte[] bytes = "id: 1\ndata: a\n\nid: 2\nda".getBytes(StandardCharsets.UTF_8);

        assertEquals(
                "id: 1\ndata: a\n\n", text(assembler.add(bytes, bytes.length).orElseThrow()));
        assertEquals(OptionalLong.of(1), assembler.lastEventId());
        assertEquals("id: 2\nda", text(assembler.takeIncompleteEvent()));
    }

    /** Guards against bytes that are lost, changed or reordered, wherever reads from the network split the stream. */
    @Property
    void forwardsEveryByteOnce(@ForAll @IntRange(min = 1, max = 20) int size) {
        EventAssembler assembler = new EventAssembler(OptionalLong.empty());
        StringBuilder forwarded = new StringBuilder();
        byte[] all = STREAM.getBytes(StandardCharsets.UTF_8);
        for (int start = 0; start < all.length; start += size) {
            byte[] part = java.util.Arrays.copyOfRange(all, start, Math.min(all.length, start + size));
            assembler.add(part, part.length).ifPresent(events -> forwarded.append(text(events)));
        }

        assertEquals(STREAM, forwarded.toString());
        assertEquals(OptionalLong.of(13), assembler.lastEventId());
        assertEquals(0, assembler.takeIncompleteEvent().length);
    }

    /** Guards against resuming a stream after an event whose id is not a number. */
    @Test
    void streamWithoutNumericIdsHasNoLastEventId() {
        EventAssembler assembler = new EventAssembler(OptionalLong.of(4));
        byte[] bytes = "id: x\ndata: a\n\n".getBytes(StandardCharsets.UTF_8);
        assembler.add(bytes, bytes.length);

        assertTrue(assembler.lastEventId().isEmpty());
    }

    private static String text(byte[] bytes) {
        return new String(bytes, StandardCharsets.UTF_8);
    }
}
