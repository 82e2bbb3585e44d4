package io.banyantally.internal.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;

/** Faults of a server after it has received a request; the client cannot know whether the request was executed. */
enum WireFault {
    CLOSE_WITHOUT_ANSWER(""),
    CLOSE_IN_STATUS_LINE("HTTP/1.1 2"),
    CLOSE_IN_HEADERS("HTTP/1.1 200 OK\r\nContent-Le"),
    CLOSE_IN_BODY("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"outcome\":\"DONE\""),
    CLOSE_IN_CHUNK("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"outc"),
    NO_HTTP("not an HTTP answer\r\n\r\n"),
    NO_LENGTH("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{}"),
    SERVER_ERROR(ScriptedServer.status(500)),
    RESET(""),
    SILENCE("");

    private final String response;

    WireFault(String response) {
        this.response = response;
    }

    boolean respond(String request, Socket socket, OutputStream output) throws IOException, InterruptedException {
        if (this == SILENCE) {
            new CountDownLatch(1).await();
        }
        if (this == RESET) {
            socket.setSoLinger(true, 0);
        }
        output.write(response.getBytes(StandardCharsets.UTF_8));
        output.flush();
        return false;
    }

    /**
     * Short for a test that waits for the timeout; long for the others, so that they do not time out on a busy machine.
     */
    Duration timeLimit() {
        return this == SILENCE ? Duration.ofMillis(400) : Duration.ofSeconds(20);
    }

    ScriptedServer server() throws IOException {
        return ScriptedServer.start(this::respond);
    }
}
