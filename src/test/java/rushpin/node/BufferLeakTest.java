package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Guards against leaked buffers when clients or servers break off; runs the garbage collector to detect them. */
class BufferLeakTest extends NodeTestBase {
    @Test
    void buffersOfAbortedRequestsAndResponsesAreReleased() throws Exception {
        StubServer truncating = stubServer(m -> m.answer("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\npart"));
        StubServer closing = stubServer(m -> m.socket().close());
        EdgeNode node = node(truncating, closing);
        for (int i = 0; i < 60; i++) {
            Socket complete = client(node);
            order(complete, "w-" + i);
            if (i % 2 == 0) {
                StubServer.read(complete);
            }
            complete.close();
            Socket partial = client(node);
            partial.getOutputStream().write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha".getBytes());
            partial.close();
        }
        assertEquals("404", status(askUnknownPath(node)));
        for (int i = 0; i < 3; i++) {
            System.gc();
            Socket other = client(node);
            order(other, "x-" + i);
            StubServer.read(other);
        }
        BufferLeakDetector.assertNone();
    }

    private StubServer.Message askUnknownPath(EdgeNode node) throws Exception {
        Socket client = client(node);
        write(client, "GET /elsewhere", headers("e", "lookup", "20000"), "");
        return StubServer.read(client);
    }
}
