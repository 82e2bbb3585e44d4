package io.banyantally.internal.adapter;

import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;

/** Splits a stream into lines of limited length without copying more than one network buffer ahead. */
final class LineReader {

    private static final int INITIAL_BYTES = 512;

    /** A chunk holds one token, so a longer line is not from an engine. */
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;

    private final InputStream input;
    private byte[] buffer = new byte[INITIAL_BYTES];
    private int start;
    private int end;
    private int lineLength;
    private boolean onLine;

    LineReader(InputStream input) {
        this.input = input;
    }

    /**
     * Goes to the next line.
     *
     * @return false at the end of the stream; an unfinished line counts as none
     */
    boolean advance() throws IOException {
        if (onLine) {
            start += lineLength + 1;
            onLine = false;
        }
        int searched = start;
        while (true) {
            for (int index = searched; index < end; index++) {
                if (buffer[index] == '\n') {
                    lineLength = index - start;
                    onLine = true;
                    return true;
                }
            }
            int pending = end - start;
            makeRoom();
            searched = start + pending;
            int count = input.read(buffer, end, buffer.length - end);
            if (count < 0) {
                return false;
            }
            end += count;
        }
    }

    private void makeRoom() throws IOException {
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

    /** The buffer that holds the line, valid until the next call. */
    byte[] buffer() {
        return buffer;
    }

    int offset() {
        return start;
    }

    int length() {
        return lineLength;
    }

    /** Returns whether nothing was read beyond the line. */
    boolean isDrained() {
        return start + lineLength + 1 >= end;
    }
}
