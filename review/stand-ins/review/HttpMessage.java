package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * One HTTP/1.1 message as read from a connection.
 *
 * @param startLine the request line or the status line
 * @param headers the header lines
 * @param body the whole body
 */
record HttpMessage(String startLine, List<String> headers, byte[] body) {

    /** Reads one message; empty if the connection ends before its first byte. */
    static Optional<HttpMessage> read(InputStream input) throws IOException {
        String startLine = readLine(input);
        if (startLine == null) {
            return Optional.empty();
        }
        List<String> headers = new ArrayList<>();
        for (String line = readLine(input); ; line = readLine(input)) {
            if (line == null) {
                throw new EOFException("the connection ended inside the headers");
            }
            if (line.isEmpty()) {
                break;
            }
            headers.add(line);
        }
        HttpMessage head = new HttpMessage(startLine, headers, new byte[0]);
        return Optional.of(new HttpMessage(startLine, headers, readBody(input, head)));
    }

    private static byte[] readBody(InputStream input, HttpMessage head) throws IOException {
        if (head.header("Transfer-Encoding").orElse("").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = readLine(input);
                if (size == null) {
                    throw new EOFException("the connection ended between two chunks");
                }
                int length = Integer.parseInt(size.split(";", -1)[0].strip(), 16);
                body.write(readExactly(input, length));
                readLine(input);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        return readExactly(
                input, head.header("Content-Length").map(Integer::parseInt).orElse(0));
    }

    private static byte[] readExactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + length + " bytes");
        }
        return bytes;
    }

    /** Reads a line without its end; null at the end of the connection. */
    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ended inside a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the first value of a header. */
    Optional<String> header(String name) {
        return headers.stream()
                .filter(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1))
                .map(line -> line.substring(name.length() + 1).strip())
                .findFirst();
    }

    /** Returns the status of an answer. */
    int status() {
        return Integer.parseInt(startLine.split(" ", -1)[1]);
    }

    /** Returns the path and query of a request. */
    String target() {
        return startLine.split(" ", -1)[1];
    }
}
