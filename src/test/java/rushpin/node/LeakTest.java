package rushpin.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Buffers on the paths that end early, with the collector made to look for them. */
class LeakTest extends NodeTestBase {
    @Test
    void whatClientsAndServersBreakOffIsReleased() throws Exception {
        StubServer spoilt = stubServer(m -> m.answer("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\npart"));
        StubServer broken = stubServer(m -> m.socket().close());
        EdgeNode node = node(spoilt, broken);
        for (int i = 0; i < 60; i++) {
            Socket whole = client(node);
            order(whole, "w-" + i);
            if (i % 2 == 0) {
                StubServer.read(whole);
            }
            whole.close();
            Socket half = client(node);
            half.getOutputStream().write("POST /api HTTP/1.1\r\nContent-Length: 9\r\n\r\nha".getBytes());
            half.close();
        }
        assertEquals("404", status(askElsewhere(node)));
        for (int i = 0; i < 3; i++) {
            System.gc();
            Socket other = client(node);
            order(other, "x-" + i);
            StubServer.read(other);
        }
        Leaks.assertNone();
    }

    private StubServer.Message askElsewhere(EdgeNode node) throws Exception {
        Socket client = client(node);
        write(client, "GET /elsewhere", headers("e", "lookup", "20000"), "");
        return StubServer.read(client);
    }
}
