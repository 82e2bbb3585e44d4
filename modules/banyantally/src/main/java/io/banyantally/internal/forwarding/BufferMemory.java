package io.banyantally.internal.forwarding;

/**
 * The memory that buffered bodies of all requests in progress may take together. A body may grow only while at least as
 * much as it takes is left, so that large bodies never keep small ones out.
 */
public final class BufferMemory {

    private final long maximumBytes;
    private long reservedBytes;

    /** Creates an account of at most {@code maximumBytes}. */
    public BufferMemory(long maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Returns an empty reservation; close it once its memory is free. */
    Reservation open() {
        return new Reservation();
    }

    /** Returns the reserved memory in bytes. */
    synchronized long reservedBytes() {
        return reservedBytes;
    }

    private synchronized boolean replace(long oldBytes, long newBytes) {
        long others = reservedBytes - oldBytes;
        if (newBytes > oldBytes && newBytes > maximumBytes - others - newBytes) {
            return false;
        }
        reservedBytes = others + newBytes;
        return true;
    }

    /** The memory of one body. */
    final class Reservation implements AutoCloseable {

        private long bytes;

        /**
         * Changes the size of the reservation, in bytes.
         *
         * @throws BufferMemoryException if the reservation may not grow that far; it keeps its size
         */
        void resize(long newBytes) throws BufferMemoryException {
            if (!replace(bytes, newBytes)) {
                throw new BufferMemoryException(
                        newBytes + " bytes are wanted, " + reservedBytes() + " of " + maximumBytes + " are reserved");
            }
            bytes = newBytes;
        }

        @Override
        public void close() {
            boolean _ = replace(bytes, 0);
            bytes = 0;
        }
    }
}
