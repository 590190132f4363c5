package rushpin.drill;

import java.io.IOException;
import java.io.Writer;
import rushpin.gateway.Ports.Actions;

/** Writes the actions of gateways as lines to the simulator. */
final class WireWriter {
    private final Writer out;
    private final StringBuilder reply = new StringBuilder();

    WireWriter(Writer out) {
        this.out = out;
    }

    /** Returns the actions of one gateway. */
    Actions actionsOf(int node) {
        return new NodeActions(node);
    }

    /** Ends the reply to a batch and sends it. */
    void flush() throws IOException {
        reply.append("yield\n");
        out.append(reply);
        out.flush();
        reply.setLength(0);
    }

    private final class NodeActions implements Actions {
        private final int node;

        NodeActions(int node) {
            this.node = node;
        }

        private StringBuilder line(String action) {
            return reply.append(action).append(' ').append(node);
        }

        @Override
        public void send(String id, String server, long timeout) {
            line("try")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(server)
                    .append(' ')
                    .append(timeout)
                    .append('\n');
        }

        @Override
        public void refuse(String id, long retryAfter) {
            line("decline")
                    .append(' ')
                    .append(id)
                    .append(' ')
                    .append(retryAfter)
                    .append('\n');
        }

        @Override
        public void fail(String id) {
            line("surrender").append(' ').append(id).append('\n');
        }

        @Override
        public void probe(String server) {
            line("inspect").append(' ').append(server).append('\n');
        }

        @Override
        public void count(long customer, long name, double amount, long lifetime) {
            line("enter").append(' ').append(lifetime).append(' ');
            if (amount == Math.rint(amount)) {
                reply.append((long) amount);
            } else {
                reply.append(java.math.BigDecimal.valueOf(amount).toPlainString());
            }
            reply.append(' ').append(name).append('\n');
        }

        @Override
        public void timer(long token, long delay) {
            line("after").append(' ').append(token).append(' ').append(delay).append('\n');
        }

        @Override
        public void watchList() {
            line("subscribe").append(" 1\n");
        }

        @Override
        public void log(String text) {
            line("record").append(' ').append(text).append('\n');
        }
    }
}
