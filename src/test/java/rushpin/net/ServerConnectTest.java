package rushpin.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import rushpin.gateway.Ports.Outcome;
import rushpin.gateway.Ports.Request;

/**
 * Tests attempts whose system calls fail: each ends once, on the event loop, as one that never ran, and releases its
 * connection slot.
 */
@Timeout(60)
class ServerConnectTest extends ServerPoolTestBase {
    private static final int ATTEMPTS = 5;

    private final FailingSockets sockets = new FailingSockets();

    @BeforeEach
    void begin() throws Exception {
        start(new Bootstrap().group(loop).channelFactory(sockets));
    }

    @AfterEach
    void noRequestHadALongBody() {
        assertEquals(0, bodiesGone.get());
    }

    static Stream<Consumer<FailingSockets>> failures() {
        return Stream.of(
                FailingSockets::refuseSockets,
                all -> all.failConnects(new ConnectException("Network is unreachable")),
                all -> all.failConnects(new IOException("Cannot assign requested address")),
                all -> all.failConnects(new NoRouteToHostException("No route to host")),
                all -> all.failFinishing(new IOException("Connection timed out")));
    }

    @ParameterizedTest
    @MethodSource("failures")
    void anAttemptThatCannotConnectReleasesItsSlot(Consumer<FailingSockets> failure) throws Exception {
        failure.accept(sockets);
        for (int i = 0; i < ATTEMPTS; i++) {
            send("r" + i);
            assertEquals(Outcome.CONNECT_FAILED, nextOutcome());
        }
        assertEquals(0, ended.size());
        assertEquals(ATTEMPTS, sockets.sockets.get(), "only the gateway retries");
        assertEquals("0 connections, 0 connects", onLoop(slots::toString));
        assertTrue(!endedElsewhere, "an attempt ended on another thread");

        sockets.succeed();
        Thread closing = new Thread(this::closeAcceptedConnections);
        closing.setDaemon(true);
        closing.start();
        send("last");
        assertEquals(Outcome.RESET, nextOutcome());
    }

    /**
     * The connection was established and the attempt was decided in time, but by the time it could be written the
     * servers had forgotten its idempotency key.
     */
    @Test
    void anAttemptIsNotWrittenAfterItsStartTimeout() throws Exception {
        long moment = TimeUnit.MILLISECONDS.toNanos(1);
        onLoop(() -> {
            servers.send(request("late"), SERVER, LONG, moment);
            for (long sent = System.nanoTime(); System.nanoTime() - sent <= moment; ) {
                Thread.onSpinWait();
            }
            return null;
        });
        assertEquals(Outcome.NOT_SENT, nextOutcome());
        Socket made = listening.accept();
        onLoop(() -> {
            servers.close();
            return null;
        });
        assertEquals(-1, made.getInputStream().read(), "a byte of the request was written");
    }

    /** Also closes connections of attempts that failed on the client's side only. */
    private void closeAcceptedConnections() {
        try {
            while (true) {
                listening.accept().close();
            }
        } catch (IOException e) {
            // The test is over.
        }
    }

    private static OpenRequest request(String id) {
        Request request = new Request(id, 0, 0, 1, System.nanoTime() + LONG, 1, 1, 0, false);
        return new OpenRequest(
                request, "c", HttpMethod.GET, "/", null, "h", Unpooled.EMPTY_BUFFER, null, null, 0, LONG);
    }

    private void send(String id) throws Exception {
        onLoop(() -> {
            servers.send(request(id), SERVER, LONG);
            return null;
        });
    }
}
