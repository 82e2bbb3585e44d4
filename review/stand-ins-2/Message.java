import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** An HTTP/1.1 message as it was read from a connection: its first line, its headers and its body. */
record Message(String firstLine, List<String[]> headers, byte[] body) {

    private static final int LINE_FEED = 10;

    /** Reads the first line and the headers; empty at an orderly end of the connection. */
    static Optional<Message> readHead(InputStream input) throws IOException {
        String first = readLine(input);
        if (first == null) {
            return Optional.empty();
        }
        List<String[]> headers = new ArrayList<>();
        for (String line = readLine(input); ; line = readLine(input)) {
            if (line == null) {
                throw new EOFException("the connection ended inside a head");
            }
            if (line.isEmpty()) {
                return Optional.of(new Message(first, headers, new byte[0]));
            }
            int colon = line.indexOf(':');
            headers.add(new String[] {
                line.substring(0, colon).strip(), line.substring(colon + 1).strip()
            });
        }
    }

    /** Reads a request with its body; empty at an orderly end of the connection. */
    static Optional<Message> readRequest(InputStream input) throws IOException {
        Optional<Message> head = readHead(input);
        return head.isEmpty() ? head : Optional.of(head.get().withBody(head.get().readBody(input, false)));
    }

    /** Reads a response with its body; empty at an orderly end of the connection. */
    static Optional<Message> readResponse(InputStream input) throws IOException {
        Optional<Message> head = readHead(input);
        return head.isEmpty() ? head : Optional.of(head.get().withBody(head.get().readBody(input, true)));
    }

    private byte[] readBody(InputStream input, boolean untilEnd) throws IOException {
        if (header("Transfer-Encoding").filter(coding -> coding.equalsIgnoreCase("chunked")).isPresent()) {
            return readChunks(input);
        }
        Optional<String> length = header("Content-Length");
        if (length.isPresent()) {
            int size = Integer.parseInt(length.get());
            byte[] read = input.readNBytes(size);
            if (read.length < size) {
                throw new EOFException("the connection ended inside a body");
            }
            return read;
        }
        return untilEnd ? input.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream input) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (true) {
            String line = readLine(input);
            if (line == null) {
                throw new EOFException("the connection ended between two chunks");
            }
            int size = Integer.parseInt(line.split(";", 2)[0].strip(), 16);
            byte[] chunk = input.readNBytes(size);
            if (chunk.length < size || readLine(input) == null) {
                throw new EOFException("the connection ended inside a chunk");
            }
            if (size == 0) {
                return all.toByteArray();
            }
            all.write(chunk);
        }
    }

    private static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); ; next = input.read()) {
            if (next < 0) {
                if (line.size() > 0) {
                    throw new EOFException("the connection ended inside a line");
                }
                return null;
            }
            if (next == LINE_FEED) {
                return line.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            line.write(next);
        }
    }

    private Message withBody(byte[] content) {
        return new Message(firstLine, headers, content);
    }

    /** Returns the first value of a header. */
    Optional<String> header(String name) {
        return headers.stream()
                .filter(field -> field[0].equalsIgnoreCase(name))
                .map(field -> field[1])
                .findFirst();
    }

    /** Returns the method of a request. */
    String method() {
        return firstLine.split(" ")[0];
    }

    /** Returns the path and query of a request. */
    String target() {
        return firstLine.split(" ")[1];
    }

    /** Returns the path of a request. */
    String path() {
        return target().split("\\?", 2)[0];
    }

    /** Returns a parameter of the query of a request; empty text if it is missing. */
    String parameter(String name) {
        String[] parts = target().split("\\?", 2);
        for (String pair : (parts.length > 1 ? parts[1] : "").split("&")) {
            if (pair.startsWith(name + "=")) {
                return java.net.URLDecoder.decode(pair.substring(name.length() + 1), StandardCharsets.UTF_8);
            }
        }
        return "";
    }

    /** Returns the status of a response. */
    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String text() {
        return new String(body, StandardCharsets.UTF_8);
    }
}
