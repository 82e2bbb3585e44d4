package io.banyantally.internal.forwarding;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/** A body that is read piece by piece into reserved memory. */
final class BodyBuffer {

    private static final int BLOCK_BYTES = 8 * 1024;

    /** The blocks and the complete body exist at the same time while one is copied to the other. */
    private static final int COPIES = 2;

    private final BufferMemory.Reservation memory;
    private final List<byte[]> blocks = new ArrayList<>();
    private int size;

    /** Creates an empty buffer; the owner closes the reservation once the complete body is no longer used. */
    BodyBuffer(BufferMemory.Reservation memory) {
        this.memory = memory;
    }

    /** Appends what remains in a buffer. */
    void write(ByteBuffer bytes) throws BufferMemoryException {
        while (bytes.hasRemaining()) {
            int offset = size % BLOCK_BYTES;
            if (offset == 0) {
                memory.resize((long) COPIES * (blocks.size() + 1) * BLOCK_BYTES);
                blocks.add(new byte[BLOCK_BYTES]);
            }
            int count = Math.min(bytes.remaining(), BLOCK_BYTES - offset);
            bytes.get(blocks.getLast(), offset, count);
            size += count;
        }
    }

    int size() {
        return size;
    }

    /** Returns the complete body and empties the buffer, whose memory stays reserved. */
    byte[] takeBytes() {
        byte[] body = new byte[size];
        for (int index = 0; index < blocks.size(); index++) {
            int offset = index * BLOCK_BYTES;
            System.arraycopy(blocks.get(index), 0, body, offset, Math.min(BLOCK_BYTES, size - offset));
        }
        blocks.clear();
        size = 0;
        return body;
    }
}
