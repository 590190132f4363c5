package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;

/** Further attempts of a keyed request, which must not arrive once the app servers have forgotten its key. */
@Timeout(60)
class KeyWindowTest extends ServerPoolTestBase {
    /** Time for which the key is still known when the attempt is decided. */
    private static final long WINDOW_MS = 400;
    /** The module reserves this much of the window for pauses of the process. */
    private static final long PAUSE_RESERVE_MS = 160;
    /** More than the socket buffers of both sides hold, so that the last byte waits for the reader. */
    private static final int LARGE = 16_000_000;

    private static final String ANSWER = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

    @BeforeEach
    void begin() throws Exception {
        start(new Bootstrap().group(loop).channel(NioSocketChannel.class));
    }

    private static OpenRequest request(ByteBuf body, BodyStream rest) {
        return new OpenRequest(
                new Request("keyed", 0, 0, 1, System.nanoTime() + LONG, 1, 1, 0, false),
                "c",
                HttpMethod.POST,
                "/",
                "key",
                "h",
                body,
                null,
                rest,
                rest == null ? 0 : -1,
                LONG);
    }

    private BodyStream endedStream() throws Exception {
        return onLoop(() -> {
            BodyStream rest = newBodyStream();
            rest.end(true);
            return rest;
        });
    }

    /** Starts an attempt that has the rest of the window, and returns the app server's side of its connection. */
    private Socket attempt(OpenRequest request) throws Exception {
        onLoop(() -> {
            servers.send(request, SERVER, LONG, TimeUnit.MILLISECONDS.toNanos(WINDOW_MS));
            return null;
        });
        return listening.accept();
    }

    /** Guards against a second effect: a large order was read slowly, and its last byte came after the window. */
    @Test
    void aLargeRequestThatHasNotArrivedByTheEndOfTheWindowIsReset() throws Exception {
        try (Socket connection = attempt(request(Unpooled.wrappedBuffer(new byte[LARGE]), null))) {
            TimeUnit.MILLISECONDS.sleep(WINDOW_MS + PAUSE_RESERVE_MS);
            assertThrows(
                    IOException.class,
                    () -> {
                        int got = connection.getInputStream().readNBytes(LARGE).length;
                        assertTrue(got < LARGE, "all of the body came after the window");
                        connection.getInputStream().readAllBytes();
                    },
                    "the connection must be reset within the body");
        }
        assertEquals(Outcome.CANCELLED, nextOutcome(), "the node's own limit says nothing about the app server");
    }

    /** Guards against a second effect: the end of a streamed body gave the attempt the client's whole time again. */
    @Test
    void aStreamedRequestIsGivenUpAtTheEndOfTheWindow() throws Exception {
        ByteBuf body = Unpooled.wrappedBuffer(new byte[LARGE]);
        try (Socket connection = attempt(request(body, endedStream()))) {
            TimeUnit.MILLISECONDS.sleep(WINDOW_MS + PAUSE_RESERVE_MS);
            assertThrows(IOException.class, () -> connection.getInputStream().readAllBytes());
        }
        assertEquals(Outcome.CANCELLED, nextOutcome());
    }

    /** A small request has arrived once it is written: its answer may come later. */
    @Test
    void aSmallRequestMayBeAnsweredAfterTheWindow() throws Exception {
        try (Socket connection = attempt(request(Unpooled.wrappedBuffer(new byte[200]), null))) {
            TimeUnit.MILLISECONDS.sleep(WINDOW_MS + PAUSE_RESERVE_MS);
            connection.getOutputStream().write(ANSWER.getBytes(StandardCharsets.US_ASCII));
            assertEquals(Outcome.OK, nextOutcome());
        }
    }

    /** Guards against a second effect: only its deadline tells an app server that it has read a request too late. */
    @ParameterizedTest
    @ValueSource(ints = {200, 60_000})
    void theDeadlineOfAnAttemptIsTheEndOfTheWindow(int size) throws Exception {
        try (Socket connection = attempt(request(Unpooled.wrappedBuffer(new byte[size]), null))) {
            BufferedReader head =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            String line = head.readLine();
            while (!line.toLowerCase(Locale.ROOT).startsWith("x-expires-in-ms:")) {
                line = head.readLine();
            }
            long expiresMs =
                    Long.parseLong(line.substring(line.indexOf(':') + 1).trim());
            assertTrue(expiresMs <= WINDOW_MS, line);
        }
    }
}
