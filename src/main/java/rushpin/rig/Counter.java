package rushpin.rig;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.math.BigDecimal;
import java.math.MathContext;
import java.util.HashMap;
import java.util.Map;
import rushpin.judge.Records;

/** The shared counter: adds an amount to a named number that lives for a while, and tells the total. */
final class Counter extends StandIn {
    private static final int MOST_NAMES = 1_000_000;
    private static final long MS = 1_000_000L;

    private record Number(double total, long until) {}

    private final Records records;
    private final Map<String, Number> numbers = new HashMap<>();
    private volatile Faults.Kind fault;

    Counter(EventLoop loop, Records records) {
        super(loop);
        this.records = records;
    }

    void fault(Faults.Kind kind) {
        fault = kind;
        if (kind == Faults.Kind.BLANK) {
            loop.execute(numbers::clear);
        }
    }

    private HttpResponseStatus add(String uri, StringBuilder total) {
        QueryStringDecoder query = new QueryStringDecoder(uri);
        String name = query.path().startsWith("/tally/") ? query.path().substring("/tally/".length()) : "";
        try {
            double amount = Double.parseDouble(query.parameters().get("n").get(0));
            long keep = Long.parseLong(query.parameters().get("keep_ms").get(0));
            if (name.isEmpty() || name.length() > 64) {
                return HttpResponseStatus.NOT_FOUND;
            }
            long now = System.nanoTime();
            if (numbers.size() > MOST_NAMES) {
                numbers.values().removeIf(number -> number.until < now);
            }
            Number before = numbers.get(name);
            Number after = before == null || before.until < now
                    ? new Number(amount, now + Math.min(60_000, keep) * MS)
                    : new Number(before.total + amount, before.until);
            numbers.put(name, after);
            records.add(new Records.Counted(name, amount, now));
            total.append(new BigDecimal(after.total).round(new MathContext(9)).toPlainString());
            return HttpResponseStatus.OK;
        } catch (RuntimeException e) {
            return HttpResponseStatus.BAD_REQUEST;
        }
    }

    @Override
    ChannelHandler handler() {
        return new SimpleChannelInboundHandler<HttpObject>() {
            private String uri;

            @Override
            protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
                if (part instanceof HttpRequest head) {
                    uri = head.uri();
                }
                Faults.Kind now = fault;
                if (!(part instanceof LastHttpContent) || now == Faults.Kind.STALL) {
                    return;
                }
                StringBuilder total = new StringBuilder();
                HttpResponseStatus status =
                        now == Faults.Kind.REFUSE ? HttpResponseStatus.SERVICE_UNAVAILABLE : add(uri, total);
                if (now == Faults.Kind.RESET) {
                    context.close();
                    return;
                }
                DefaultFullHttpResponse answer = new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, text(now == Faults.Kind.LIE ? "much" : total.toString()));
                answer.headers().set("Content-Length", answer.content().readableBytes());
                context.writeAndFlush(answer);
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
                context.close();
            }
        };
    }
}
