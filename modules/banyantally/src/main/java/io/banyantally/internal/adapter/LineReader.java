package io.banyantally.internal.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines of limited length, without reading ahead more than one network buffer. */
final class LineReader {

    private static final int INITIAL_BYTES = 512;

    /** A line holds one chunk with one token; a longer line is an error. */
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

    private final InputStream input;
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int start;
    private int end;
    private int lineLength;
    private boolean hasLine;

    LineReader(InputStream input) {
        this.input = input;
    }

    /**
     * Advances to the next line.
     *
     * @return false at the end of the stream; a last line without a line break is ignored
     */
    boolean advance() throws IOException {
        if (hasLine) {
            start += lineLength + 1;
            hasLine = false;
        }
        int searchFrom = start;
        while (true) {
            for (int index = searchFrom; index < end; index++) {
                if (buffer[index] == '\n') {
                    lineLength = index - start;
                    hasLine = true;
                    return true;
                }
            }
            int pending = end - start;
            ensureSpace();
            searchFrom = start + pending;
            int count = input.read(buffer, end, buffer.length - end);
            if (count < 0) {
                return false;
            }
            end += count;
        }
    }

    private void ensureSpace() throws IOException {
        if (start > 0) {
            System.arraycopy(buffer, start, buffer, 0, end - start);
            end -= start;
            start = 0;
        }
        if (end == buffer.length) {
            if (buffer.length >= MAXIMUM_LINE_BYTES) {
                throw new IOException("line longer than the " + MAXIMUM_LINE_BYTES + " bytes allowed");
            }
            buffer = Arrays.copyOf(buffer, buffer.length * 2);
        }
    }

    /** Returns the buffer that holds the line; valid until the next call of {@link #advance}. */
    byte[] buffer() {
        return buffer;
    }

    int offset() {
        return start;
    }

    int length() {
        return lineLength;
    }

    /** Returns whether the buffer has no bytes after the current line. */
    boolean isDrained() {
        return start + lineLength + 1 >= end;
    }
}
