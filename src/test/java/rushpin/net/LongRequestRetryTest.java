package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;

/** Requests whose body is passed on while it comes, and whose first attempt fails. */
@Timeout(60)
class LongRequestRetryTest extends ServerPoolTestBase {
    private static final int READ_TIMEOUT_MS = 10_000;
    private static final long MS = 1_000_000L;
    /** How far a deadline that is passed on may lie beyond the time that is left, in milliseconds. */
    private static final long DEADLINE_TOLERANCE_MS = 150;

    private static final String LAST_CHUNK = "0\r\n\r\n";

    private BodyStream rest;
    private OpenRequest request;

    @BeforeEach
    void begin() throws Exception {
        start(new Bootstrap().group(loop).channel(NioSocketChannel.class));
        rest = newBodyStream();
        request = new OpenRequest(
                new Request("long", 0, 0, 1, System.nanoTime() + LONG, 1, 1, 0, false),
                "c",
                HttpMethod.POST,
                "/",
                "key",
                "h",
                Unpooled.copiedBuffer("first ", StandardCharsets.US_ASCII),
                null,
                rest,
                -1,
                LONG);
    }

    /** Starts an attempt and returns the app server's side of its connection. */
    private Socket attempt() throws Exception {
        sendOnLoop();
        Socket accepted = listening.accept();
        accepted.setSoTimeout(READ_TIMEOUT_MS);
        return accepted;
    }

    private void sendOnLoop() throws Exception {
        onLoop(() -> {
            servers.send(request, SERVER, LONG);
            return null;
        });
    }

    private void push(String chunk) throws Exception {
        onLoop(() -> {
            rest.push(Unpooled.copiedBuffer(chunk, StandardCharsets.US_ASCII));
            return null;
        });
    }

    private void endBody() throws Exception {
        onLoop(() -> {
            rest.end(true);
            return null;
        });
    }

    /** Reads a message up to the given text, which has to come. */
    private static String readUpTo(Socket connection, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        while (text.indexOf(end) < 0) {
            int next = connection.getInputStream().read();
            assertTrue(next >= 0, "the connection ended after: " + text);
            text.append((char) next);
        }
        return text.toString();
    }

    /** The body of a message in chunks. */
    private static String body(String message) {
        StringBuilder body = new StringBuilder();
        String[] lines = message.substring(message.indexOf("\r\n\r\n") + 4).split("\r\n");
        for (int i = 1; i < lines.length; i += 2) {
            body.append(lines[i]);
        }
        return body.toString();
    }

    private static void reset(Socket connection) throws IOException {
        connection.setSoLinger(true, 0);
        connection.close();
    }

    /** The first attempt's app server resets the connection after the first part of the body. */
    private void failFirstAttempt() throws Exception {
        try (Socket first = attempt()) {
            readUpTo(first, "first ");
            reset(first);
        }
        assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
    }

    /** Guards against an order that runs with a piece of its body missing: the piece went to the failed attempt. */
    @Test
    void aPieceThatComesBetweenTwoAttemptsReachesTheSecond() throws Exception {
        failFirstAttempt();
        push("second ");
        try (Socket second = attempt()) {
            push("third");
            endBody();
            assertEquals("first second third", body(readUpTo(second, LAST_CHUNK)));
        }
    }

    /** Guards against an order that hangs until its deadline: the end of its body went to the failed attempt. */
    @Test
    void anEndThatComesBetweenTwoAttemptsReachesTheSecond() throws Exception {
        failFirstAttempt();
        endBody();
        try (Socket second = attempt()) {
            assertEquals("first ", body(readUpTo(second, LAST_CHUNK)));
        }
    }

    /** Guards against a second attempt that never ends its body, and against one told more time than is left. */
    @Test
    void anAttemptAfterAWholeOneIsWholeAndTellsWhatTimeIsLeft() throws Exception {
        endBody();
        try (Socket first = attempt()) {
            readUpTo(first, LAST_CHUNK);
            reset(first);
        }
        assertEquals(Outcome.RESET, nextOutcome());
        remainingNanos = 1_000 * MS;
        try (Socket second = attempt()) {
            String message = readUpTo(second, LAST_CHUNK);
            assertEquals("first ", body(message));
            Matcher expires = Pattern.compile("(?i)x-expires-in-ms: (\\d+)").matcher(message);
            assertTrue(expires.find(), message);
            assertTrue(Long.parseLong(expires.group(1)) <= 1_000 + DEADLINE_TOLERANCE_MS, message);
        }
    }

    /** Guards against an order that runs with a piece missing: a piece that was passed on is not kept. */
    @Test
    void aBodyOfWhichAPieceWasPassedOnIsNotSentAgain() throws Exception {
        try (Socket first = attempt()) {
            push("second ");
            readUpTo(first, "second ");
            reset(first);
        }
        assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
        assertEquals(1, bodiesGone.get());
        sendOnLoop();
        assertEquals(Outcome.NOT_SENT, nextOutcome());
    }
}
