package rushpin.rig;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import rushpin.judge.Records;

/**
 * An app server: so many requests at a time, the others wait in a short line; repeats of a key are dropped for a while;
 * cold after a start, and pushed over by too much work meanwhile. All on its loop.
 */
final class AppServer extends StandIn {
    private static final long MS = 1_000_000L;
    private static final int MOST_KEYS = 100_000;
    /** A cold server falls over when it is sent so many times what it can do, for so long. */
    private static final double FALL_MULTIPLE = 2.5, COLD_FROM = 0.21;

    private static final long FALL_SPAN = 2_000 * MS, COLD_SPAN = 18_000 * MS;

    /** How a server works: requests at a time, how many wait, the work of one in microseconds from least to most. */
    record Work(int cores, int line, long least, long most, long keyWindow) {}

    /** What all servers of a pool remember of keys together: a repeat is dropped by whichever gets it. */
    static final class Keys {
        private final Map<String, Long> since = new LinkedHashMap<>() {
            private static final long serialVersionUID = 1L;

            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MOST_KEYS;
            }
        };

        /** Whether a request of this key takes effect now. */
        synchronized boolean begins(String key, long at, long window) {
            Long before = since.get(key);
            boolean fresh = before == null || at - before > window;
            if (fresh) {
                since.remove(key);
                since.put(key, at);
            }
            return fresh;
        }
    }

    /** The zone of servers that have no other. */
    static final String ZONE = "a";

    final String pool, id, zone;
    private final Work work;
    private final Records records;
    private final SplittableRandom random;
    private final Keys keys;
    private final ArrayDeque<Handler> line = new ArrayDeque<>();
    private volatile Faults.Kind fault;
    /** The class that fails here; null for none. */
    private volatile String failing;

    private volatile double slower = 1;
    private volatile long startedAt;
    /** What its group has open together; null where nobody counts. */
    private volatile GroupDoor door;

    private long pushFrom;
    private double pushed;
    private boolean down;
    private int busy;

    AppServer(EventLoop loop, String pool, String id, String zone, Work work, Keys keys, Records records, long seed) {
        super(loop);
        this.pool = pool;
        this.id = id;
        this.zone = zone;
        this.work = work;
        this.keys = keys;
        this.records = records;
        random = new SplittableRandom(seed);
    }

    /** What it does from now on; null for its work. */
    void fault(Faults.Kind kind) {
        fault = kind;
    }

    /** Requests of this class fail from now on, and no others; null for none. */
    void fails(String className) {
        failing = className;
    }

    /** Each request takes so many times as long from now on, and holds its place meanwhile. */
    void slower(double times) {
        slower = times;
    }

    /** It has just started, and is cold. */
    void restart() {
        loop.execute(() -> {
            down = false;
            startedAt = System.nanoTime();
            pushFrom = startedAt;
            pushed = 0;
        });
    }

    /** Its connections count with those of its group from now on; before the first. */
    void joins(GroupDoor group) {
        door = group;
    }

    @Override
    ChannelHandler handler() {
        return new Handler();
    }

    private double warmth() {
        return startedAt == 0
                ? 1
                : Math.min(1, COLD_FROM + (1 - COLD_FROM) * (System.nanoTime() - startedAt) / COLD_SPAN);
    }

    /** Counts the work that reaches a cold server against what it can do in the span. */
    private void push(long micros) {
        long now = System.nanoTime();
        if (startedAt == 0 || warmth() >= 1) {
            return;
        }
        if (now - pushFrom > FALL_SPAN) {
            pushFrom = now;
            pushed = 0;
        }
        pushed += micros * 1e3;
        if (!down && pushed > FALL_MULTIPLE * warmth() * work.cores * FALL_SPAN) {
            down = true;
            records.add(new Records.Fall(pool, id, now));
        }
    }

    private void done() {
        busy--;
        while (busy < work.cores && !line.isEmpty()) {
            line.poll().begin();
        }
    }

    /** One connection, with one request at a time. */
    private final class Handler extends SimpleChannelInboundHandler<HttpObject> {
        private ChannelHandlerContext context;
        private String request, key, className;
        private long first, at;
        private boolean effect, open;

        @Override
        public void handlerAdded(ChannelHandlerContext on) {
            GroupDoor group = door;
            if (group != null) {
                on.pipeline().addBefore(on.name(), "door", group.on(id));
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext on, HttpObject part) {
            if (part instanceof HttpRequest head) {
                context = on;
                first = System.nanoTime();
                request = head.headers().get("X-Trace-Id");
                key = head.headers().get("Idempotency-Key");
                // An edge node passes no class on: clients' orders are what they post.
                className = head.method().equals(HttpMethod.POST) ? "order" : "lookup";
            }
            if (part instanceof LastHttpContent) {
                at = System.nanoTime();
                open = true;
                effect = false;
                take();
            }
        }

        private void take() {
            String fails = failing;
            Faults.Kind now = fails != null && fails.equals(className) ? Faults.Kind.FAIL_FAST : fault;
            if (now == null && !down && (busy < work.cores || line.size() < work.line)) {
                if (busy < work.cores) {
                    begin();
                } else {
                    line.add(this);
                }
            } else if (now == null && !down) {
                push(work.least);
                answer(HttpResponseStatus.SERVICE_UNAVAILABLE, "X-Never-Ran", "1");
            } else if (now == Faults.Kind.FAIL_FAST) {
                answer(HttpResponseStatus.INTERNAL_SERVER_ERROR, "X-Fault", "fast");
            } else if (now == Faults.Kind.RESET) {
                run();
                context.close();
            } else if (now == Faults.Kind.LIE) {
                run();
                context.pipeline().remove(HttpServerCodec.class);
                context.writeAndFlush(text("\r\nHTTP/9 what? \u0001\r\n\r\n"));
            } else if (now == Faults.Kind.TRICKLE) {
                run();
                context.pipeline().remove(HttpServerCodec.class);
                trickle("HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n" + "x".repeat(4000), 0);
            } else if (now == Faults.Kind.STALL) {
                run();
            }
        }

        private void trickle(String text, int from) {
            if (from < text.length() && context.channel().isActive()) {
                context.writeAndFlush(text(text.substring(from, from + 1)));
                loop.schedule(() -> trickle(text, from + 1), 20, TimeUnit.MILLISECONDS);
            }
        }

        /** The request runs: it takes effect unless it repeats what is still remembered. */
        private void run() {
            effect = key == null || keys.begins(key, at, work.keyWindow);
        }

        private void begin() {
            if (!open) {
                return;
            }
            busy++;
            run();
            long micros = work.least + (work.most > work.least ? random.nextLong(work.most - work.least) : 0);
            push(micros);
            loop.schedule(
                    () -> {
                        if (open) {
                            answer(HttpResponseStatus.OK, "X-Served-By", id);
                        }
                        done();
                    },
                    (long) (slower * micros / warmth()),
                    TimeUnit.MICROSECONDS);
        }

        private void answer(HttpResponseStatus status, String name, String value) {
            ByteBuf body = text(request + " by " + pool + "/" + id);
            DefaultFullHttpResponse answer = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
            answer.headers().set("Content-Length", body.readableBytes()).set(name, value);
            ended();
            context.writeAndFlush(answer);
        }

        private void ended() {
            open = false;
            records.add(new Records.Attempt(pool, id, request, key, first, at, System.nanoTime(), effect));
        }

        @Override
        public void channelInactive(ChannelHandlerContext on) {
            if (open) {
                line.remove(this);
                ended();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext on, Throwable cause) {
            on.close();
        }
    }
}
