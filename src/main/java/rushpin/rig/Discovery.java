package rushpin.rig;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import rushpin.judge.Records;

/**
 * Discovery of one pool: a list, watches of it, and what was told when. All on its loop. It may have views: the same list for
 * one process each, with the addresses of that process's way to each server in place of the servers' own.
 */
final class Discovery extends StandIn {
    private static final long BEAT_MS = 2_000;

    private record Entry(String address, String zone, String phase, long since) {}

    private final String pool;
    private final Records records;
    private final Map<String, Entry> entries = new LinkedHashMap<>();
    private final Map<String, Long> toldAt = new HashMap<>();
    private final Set<Channel> watches = new HashSet<>();
    private final List<Discovery> views = new CopyOnWriteArrayList<>();
    /** For a view: the address that stands for each server's own. */
    private final Map<String, String> instead;

    private long revision = 1;

    Discovery(EventLoop loop, String pool, Records records) {
        this(loop, pool, records, Map.of());
    }

    private Discovery(EventLoop loop, String pool, Records records, Map<String, String> instead) {
        super(loop);
        this.pool = pool;
        this.records = records;
        this.instead = instead;
        loop.scheduleAtFixedRate(
                () -> watches.forEach(watch -> line(watch, "")), BEAT_MS, BEAT_MS, TimeUnit.MILLISECONDS);
    }

    /**
     * A view of the list, to be opened by who asks; told of each change in the same turn of the loop.
     *
     * @param addresses for each server's own address the one that stands for it; a server that comes later has to be there
     */
    Discovery view(Map<String, String> addresses) throws Exception {
        Discovery made = new Discovery(loop, pool, records, Map.copyOf(addresses));
        loop.submit(() -> {
                    entries.forEach((id, entry) -> made.put(id, made.own(entry)));
                    views.add(made);
                })
                .get();
        return made;
    }

    private Entry own(Entry entry) {
        String address = instead.get(entry.address);
        if (address == null) {
            throw new IllegalArgumentException("no way to " + entry.address);
        }
        return new Entry(address, entry.zone, entry.phase, entry.since);
    }

    /** Sets a server's phase ({@code Ready}, {@code Terminating}, {@code Gone}) and tells the watches. */
    void set(AppServer server, String phase, long sinceMs) {
        String id = server.id;
        Entry entry = new Entry(server.address(), server.zone, phase, sinceMs);
        views.forEach(view -> view.own(entry));
        loop.execute(() -> {
            // Whoever is told first may send at once, while the others are being told.
            long begun = System.nanoTime();
            put(id, entry);
            views.forEach(view -> view.put(id, view.own(entry)));
            if (!entry.phase.equals("Ready")) {
                // Gone behind a drain goes on from the drain.
                toldAt.putIfAbsent(id, System.nanoTime());
            } else if (toldAt.containsKey(id)) {
                records.add(new Records.Told(pool, id, toldAt.remove(id), begun));
            }
        });
    }

    private void put(String id, Entry entry) {
        entries.put(id, entry);
        revision++;
        watches.forEach(watch -> line(watch, message(false, "[" + json(id, entry) + "]")));
    }

    /** Writes down the drains that last until the end of the run. */
    void end() throws Exception {
        loop.submit(() -> toldAt.forEach((id, at) -> records.add(new Records.Told(pool, id, at, Long.MAX_VALUE))))
                .get();
    }

    private static String json(String id, Entry e) {
        return "{\"id\":\"" + id + "\",\"host_port\":\"" + e.address + "\",\"locality\":\"" + e.zone
                + "\",\"flavor\":\"m\"," + "\"cell\":1,\"phase\":\"" + e.phase + "\",\"size\":1.0,\"up_since_ms\":"
                + e.since + "}";
    }

    private String message(boolean complete, String members) {
        return "{\"revision\":" + revision + ",\"complete\":" + complete + ",\"members\":" + members + "}";
    }

    private void line(Channel watch, String text) {
        watch.writeAndFlush(new DefaultHttpContent(text(text + "\n")));
    }

    @Override
    ChannelHandler handler() {
        return new SimpleChannelInboundHandler<HttpObject>() {
            @Override
            protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
                if (!(part instanceof LastHttpContent)) {
                    return;
                }
                DefaultHttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                head.headers().set("Transfer-Encoding", "chunked");
                context.write(head);
                StringBuilder all = new StringBuilder();
                entries.forEach((id, e) -> {
                    if (!e.phase.equals("Gone")) {
                        all.append(all.isEmpty() ? "" : ",").append(json(id, e));
                    }
                });
                line(context.channel(), message(true, "[" + all + "]"));
                watches.add(context.channel());
            }

            @Override
            public void channelInactive(ChannelHandlerContext context) {
                watches.remove(context.channel());
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        };
    }
}
