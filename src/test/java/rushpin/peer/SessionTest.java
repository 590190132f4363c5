package rushpin.peer;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.protobuf.ByteString;
import io.grpc.CallOptions;
import io.grpc.ClientCall;
import io.grpc.ManagedChannel;
import io.grpc.Metadata;
import io.grpc.MethodDescriptor;
import io.grpc.Status;
import java.io.ByteArrayInputStream;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import rushpin.accord.Command;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.Who;
import rushpin.peer.wire.Wire;

/** Streams of sessions over sockets, with faults on the way. */
@Timeout(120)
class SessionTest {
    private static final long MS = Voter.MS;
    /** Nothing ends by time; and all does. */
    private static final Pace CALM = new Pace(50 * MS, 60_000 * MS, 60_000 * MS, 10 * MS, 100 * MS),
            QUICK = new Pace(50 * MS, 700 * MS, 1_000 * MS, 10 * MS, 100 * MS);

    private static final Who MEMBER = new Who("m", 11, "z1", "r1", 1);

    /** A member, and in order all that it heard. */
    private static final class Member implements SessionClient.Listener, AutoCloseable {
        final LinkedBlockingQueue<Object> heard = new LinkedBlockingQueue<>();
        final Sockets sockets = new Sockets();
        final SessionClient client;

        Member(Pace pace, long seed, Map<String, InetSocketAddress> voters) {
            client = new SessionClient(MEMBER, voters, pace, seed, sockets, this);
            client.start();
        }

        /** Waits for one such, past others. */
        Object next(Predicate<Object> one) throws InterruptedException {
            while (true) {
                Object each = heard.poll(60, TimeUnit.SECONDS);
                assertNotNull(each, "nothing more was heard");
                if (one.test(each)) {
                    return each;
                }
            }
        }

        @Override
        public void opened(String voter) {
            heard.add("opened " + voter);
        }

        @Override
        public void ended(String voter, String why) {
            heard.add("ended " + voter + " " + why);
        }

        @Override
        public void answered(long request, Outcome outcome) {
            heard.add(Map.entry(request, outcome));
        }

        @Override
        public void failed(long request, Failure why) {
            heard.add(Map.entry(request, why));
        }

        @Override
        public void plan(Plan plan) {
            heard.add(plan);
        }

        @Override
        public void close() {
            client.close();
            sockets.close();
        }
    }

    private static Plan plan(long number, long fence) {
        return new Plan(number, fence, List.of(new Plan.Way("z1", List.of(new Plan.Part("z2", Plan.WHOLE)))));
    }

    /** By a voter that does not lead: commands go on to the one that does, once; plans come down, at once and newest. */
    @Test
    void aVoterThatDoesNotLeadPassesCommandsOn() throws Exception {
        try (Voter a = new Voter("a", CALM, Map.of());
                Voter b = new Voter("b", CALM, Map.of("a", a.address()))) {
            a.leader = "a";
            b.leader = "a";
            // Who makes the plans need not lead.
            a.planner = "a";
            b.planner = "a";
            b.desk.inForce(plan(3, 1));
            // By a name that is looked up.
            InetSocketAddress named = InetSocketAddress.createUnresolved("localhost", b.server.port());
            try (Member m = new Member(CALM, 1, Map.of("b", named))) {
                assertEquals("opened b", m.next(each -> true));
                assertEquals(plan(3, 1), m.next(each -> true));
                assertTrue(m.client.ask(1, new Command.Acquire(9, "planner")));
                assertEquals(Map.entry(1L, new Outcome.Granted("planner", 7)), m.next(each -> true));
                assertEquals(new Command.Acquire(9, "planner"), a.proposed.poll());
                assertNull(b.proposed.poll());
                // One of a newer version arrives in its own bytes.
                byte[] newer = {(byte) 0xba, 1, 2, 4, 4};
                assertTrue(m.client.ask(2, new Command.Unknown(newer)));
                assertEquals(Map.entry(2L, new Outcome.Done()), m.next(each -> true));
                assertArrayEquals(newer, ((Command.Unknown) a.proposed.poll()).bytes());
                // An older plan is not told; one by a later planner is, whatever its number.
                b.desk.inForce(plan(2, 1));
                b.desk.inForce(plan(1, 2));
                assertEquals(plan(1, 2), m.next(each -> true));
                List<Report.Seen> seen = List.of(new Report.Seen("z2", "a.x", 9, 5, 4, 3, 2));
                List<Report.Stock> stocks = List.of(new Report.Stock("z2", 4, 3_500, 3));
                List<Report.Entered> entered = List.of(new Report.Entered("a.x", 11));
                m.client.report(new Report(9, 1, "another", "elsewhere", 7, 6, seen, stocks, entered));
                assertEquals(
                        new Report(9, 1, "m", "z1", 7, 6, seen, stocks, entered), a.reports.poll(60, TimeUnit.SECONDS));
                // It believes that b leads, b that a does: that goes nowhere, at once; reports go where plans are made.
                a.leader = "b";
                m.client.report(new Report(9, 2, "m", "z1", seen));
                assertEquals(2, a.reports.poll(60, TimeUnit.SECONDS).sequence());
                assertTrue(m.client.ask(3, new Command.Renew(9)));
                assertEquals(Map.entry(3L, Failure.NOT_LEADING), m.next(each -> true));
            }
        }
    }

    @Test
    void whatIsInHandIsBoundedAndEndsOnce() throws Exception {
        try (Voter a = new Voter("a", CALM, Map.of())) {
            a.leader = "a";
            a.holds = true;
            try (Member m = new Member(QUICK, 1, Map.of("a", a.address()))) {
                m.next("opened a"::equals);
                for (long i = 0; i < SessionDesk.MOST_ASKED; i++) {
                    while (!m.client.ask(i, new Command.Renew(i))) {
                        Thread.onSpinWait();
                    }
                    assertNotNull(a.proposed.poll(30, TimeUnit.SECONDS));
                }
                while (!m.client.ask(99, new Command.Renew(99))) {
                    Thread.onSpinWait();
                }
                // On a busy machine the first may be given up by now, and there is room for this one.
                Object last = m.next(each ->
                        each instanceof Map.Entry<?, ?> entry && entry.getKey().equals(99L));
                assertTrue(
                        List.of(Map.entry(99L, Failure.BUSY), Map.entry(99L, Failure.UNCERTAIN))
                                .contains(last),
                        "" + last);
                // None is answered in time: each ends, and two make this voter one to leave.
                m.next(each -> each.toString().matches("ended a \\d+ requests found no voter that leads"));
                for (CompletableFuture<Outcome> late : a.heldProposals) {
                    late.complete(new Outcome.Done());
                }
                a.holds = false;
                m.next("opened a"::equals);
                assertTrue(m.client.ask(100, new Command.Renew(1)));
                Object next = m.next(each -> each instanceof Map.Entry<?, ?>);
                while (!next.equals(Map.entry(100L, new Outcome.Done()))) {
                    assertFalse(((Map.Entry<?, ?>) next).getValue() instanceof Outcome, "a late answer: " + next);
                    next = m.next(each -> each instanceof Map.Entry<?, ?>);
                }
            }
        }
    }

    /** A stopped voter keeps its connection open and says nothing; what was in hand there is not known. */
    @Test
    void aSilentVoterIsLeftForTheNext() throws Exception {
        try (Voter a = new Voter("a", QUICK, Map.of());
                Voter b = new Voter("b", QUICK, Map.of());
                Relay toA = new Relay();
                Relay toB = new Relay()) {
            a.leader = "a";
            b.leader = "b";
            a.holds = true;
            b.holds = true;
            toA.to(a.server.port());
            toB.to(b.server.port());
            Map<String, Relay> ways = Map.of("a", toA, "b", toB);
            try (Member m = new Member(QUICK, 4, Map.of("a", toA.address(), "b", toB.address()))) {
                String first = ((String) m.next(each -> each.toString().startsWith("opened"))).substring(7);
                Voter at = first.equals("a") ? a : b;
                assertTrue(m.client.ask(1, new Command.Renew(1)));
                assertNotNull(at.proposed.poll(30, TimeUnit.SECONDS));
                ways.get(first).mode(Relay.Mode.DUMB);
                assertEquals(Map.entry(1L, Failure.UNCERTAIN), m.next(each -> each instanceof Map.Entry<?, ?>));
                m.next(("ended " + first + " silent")::equals);
                m.next(("opened " + (first.equals("a") ? "b" : "a"))::equals);
                // And back, by a reset this time.
                ways.get(first).mode(Relay.Mode.PASS);
                ways.get(first.equals("a") ? "b" : "a").reset();
                m.next(("opened " + first)::equals);
            }
        }
    }

    @Test
    void aVoterWithoutOneThatLeadsIsLeft() throws Exception {
        try (Voter a = new Voter("a", CALM, Map.of());
                Voter b = new Voter("b", CALM, Map.of())) {
            b.leader = "b";
            try (Member m = new Member(CALM, 2, Map.of("a", a.address(), "b", b.address()))) {
                long request = 0;
                Object heard = "";
                while (!(heard instanceof Map.Entry<?, ?> entry
                        && entry.getValue().equals(new Outcome.Done()))) {
                    if (m.client.ask(++request, new Command.Renew(1))) {
                        heard = m.next(each -> each instanceof Map.Entry<?, ?>);
                    }
                }
                assertEquals(new Command.Renew(1), b.proposed.poll());
            }
        }
    }

    /** A stream that a test drives itself. */
    private static final class Raw<Q> extends ClientCall.Listener<Wire.Down> implements AutoCloseable {
        final LinkedBlockingQueue<Wire.Down> heard = new LinkedBlockingQueue<>();
        final CompletableFuture<Status> end = new CompletableFuture<>();
        final Sockets sockets = new Sockets();
        final ManagedChannel channel;
        final ClientCall<Q, Wire.Down> call;

        Raw(MethodDescriptor<Q, Wire.Down> method, Voter to) {
            channel = Calls.channel(to.address(), sockets, sockets.work());
            call = channel.newCall(method, CallOptions.DEFAULT);
            call.start(this, new Metadata());
        }

        @Override
        public void onMessage(Wire.Down from) {
            heard.add(from);
        }

        @Override
        public void onClose(Status status, Metadata trailers) {
            end.complete(status);
        }

        @Override
        public void close() {
            channel.shutdownNow();
            sockets.close();
        }
    }

    private static Wire.Up hello() {
        return Wire.Up.newBuilder()
                .setHello(Wire.Hello.newBuilder().setWho(Codec.wire(MEMBER)))
                .build();
    }

    private static Wire.Up ask(long request, byte[] command) {
        return Wire.Up.newBuilder()
                .setAsk(Wire.Ask.newBuilder().setRequest(request).setCommand(ByteString.copyFrom(command)))
                .build();
    }

    @Test
    void aReaderThatDoesNotReadIsEndedWithAReason() throws Exception {
        try (Voter a = new Voter("a", CALM, Map.of());
                Raw<Wire.Up> raw = new Raw<>(Calls.SESSION, a)) {
            a.leader = "a";
            raw.call.sendMessage(hello());
            raw.call.request(1);
            assertEquals("a", raw.heard.poll(30, TimeUnit.SECONDS).getWelcome().getVoter());
            // More than what may be on its way to it: from here on nothing can be sent.
            List<Plan.Part> parts = new ArrayList<>();
            for (int i = 0; i < 4_000; i++) {
                parts.add(new Plan.Part("a-zone-of-some-forty-letters-with-number-" + i, 1));
            }
            List<Plan.Way> ways = List.of(new Plan.Way("z", parts));
            int plans = 40;
            for (int number = 1; number <= plans; number++) {
                a.desk.inForce(new Plan(number, 1, ways));
            }
            byte[] command = new Codec().bytes(new Command.Renew(1));
            for (int i = 1; i <= SessionDesk.MOST_ANSWERS + 1; i++) {
                raw.call.sendMessage(ask(i, command));
                assertNotNull(a.proposed.poll(30, TimeUnit.SECONDS));
            }
            raw.call.request(1_000);
            Status end = raw.end.get(60, TimeUnit.SECONDS);
            assertEquals(Status.Code.RESOURCE_EXHAUSTED, end.getCode(), "" + end);
            assertTrue(end.getDescription().contains("not read"), end.getDescription());
            // Of the plans those that were on their way, and of the others none: the newest took their place, and it
            // ended.
            assertTrue(raw.heard.size() < plans, raw.heard.size() + " messages");
        }
    }

    @Test
    void wrongBytesEndOneStreamAtMost() throws Exception {
        MethodDescriptor.Marshaller<byte[]> plain = new MethodDescriptor.Marshaller<>() {
            @Override
            public InputStream stream(byte[] bytes) {
                return new ByteArrayInputStream(bytes);
            }

            @Override
            public byte[] parse(InputStream from) {
                throw new UnsupportedOperationException();
            }
        };
        MethodDescriptor<byte[], Wire.Down> method = MethodDescriptor.<byte[], Wire.Down>newBuilder()
                .setType(MethodDescriptor.MethodType.BIDI_STREAMING)
                .setFullMethodName(Calls.SESSION.getFullMethodName())
                .setRequestMarshaller(plain)
                .setResponseMarshaller(Calls.SESSION.getResponseMarshaller())
                .build();
        try (Voter a = new Voter("a", CALM, Map.of(), 20, 1);
                Raw<byte[]> spoilt = new Raw<>(method, a)) {
            a.leader = "a";
            spoilt.call.sendMessage(new byte[] {(byte) 0xff, (byte) 0xff, 3});
            assertFalse(spoilt.end.get(30, TimeUnit.SECONDS).isOk());
            try (Raw<Wire.Up> rude = new Raw<>(Calls.SESSION, a)) {
                rude.call.sendMessage(ask(1, new byte[0]));
                assertEquals("no hello", rude.end.get(30, TimeUnit.SECONDS).getDescription());
            }
            try (Raw<Wire.Up> raw = new Raw<>(Calls.SESSION, a)) {
                raw.call.request(100);
                raw.call.sendMessage(hello());
                assertTrue(raw.heard.poll(30, TimeUnit.SECONDS).hasWelcome());
                raw.call.sendMessage(ask(1, new byte[] {(byte) 0xff}));
                assertEquals(
                        Wire.Failure.Why.UNREADABLE,
                        raw.heard
                                .poll(30, TimeUnit.SECONDS)
                                .getAnswer()
                                .getVerdict()
                                .getFailure()
                                .getWhy());
                // A message of a newer version, and the beat behind it.
                raw.call.sendMessage(Wire.Up.getDefaultInstance());
                raw.call.sendMessage(Wire.Up.newBuilder()
                        .setBeat(Wire.Beat.newBuilder().setNumber(5))
                        .build());
                assertEquals(5, raw.heard.poll(30, TimeUnit.SECONDS).getBeat().getNumber());
                // One more than there may be.
                try (Raw<Wire.Up> second = new Raw<>(Calls.SESSION, a)) {
                    assertEquals(
                            Status.Code.RESOURCE_EXHAUSTED,
                            second.end.get(30, TimeUnit.SECONDS).getCode());
                }
            }
        }
    }

    @Test
    void aMemberThatIsSilentOrComesAgainLosesItsStream() throws Exception {
        try (Voter a = new Voter("a", QUICK, Map.of());
                Raw<Wire.Up> raw = new Raw<>(Calls.SESSION, a)) {
            raw.call.request(100);
            raw.call.sendMessage(hello());
            assertEquals("nothing was heard", raw.end.get(30, TimeUnit.SECONDS).getDescription());
        }
        try (Voter a = new Voter("a", CALM, Map.of());
                Raw<Wire.Up> raw = new Raw<>(Calls.SESSION, a)) {
            raw.call.request(100);
            raw.call.sendMessage(hello());
            assertTrue(raw.heard.poll(30, TimeUnit.SECONDS).hasWelcome());
            try (Member m = new Member(CALM, 1, Map.of("a", a.address()))) {
                m.next("opened a"::equals);
                assertEquals(
                        "a newer stream of m", raw.end.get(30, TimeUnit.SECONDS).getDescription());
            }
        }
    }

    /** Whatever happens on the ways: each request that was taken has one end. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void eachRequestHasOneEnd(long seed) throws Exception {
        SplittableRandom random = new SplittableRandom(seed);
        Pace pace = new Pace(10 * MS, 100 * MS, 150 * MS, 2 * MS, 20 * MS);
        List<Relay> ways = List.of(new Relay(), new Relay(), new Relay(), new Relay());
        Map<String, InetSocketAddress> addresses = new HashMap<>();
        try (Voter a = new Voter("a", pace, Map.of());
                Voter b = new Voter("b", pace, Map.of("a", ways.get(3).address()));
                Voter c = new Voter("c", pace, Map.of("a", a.address()))) {
            List<Voter> voters = List.of(a, b, c);
            for (int i = 0; i < voters.size(); i++) {
                voters.get(i).leader = "a";
                ways.get(i).to(voters.get(i).server.port());
                addresses.put(voters.get(i).name, ways.get(i).address());
            }
            ways.get(3).to(a.server.port());
            Map<Long, Integer> ends = new HashMap<>();
            long request = 0, taken = 0;
            try (Member m = new Member(pace, seed, addresses)) {
                for (int round = 0; round < 12; round++) {
                    // Faults among requests, some of which are waited for ...
                    for (int step = random.nextInt(40); step > 0; step--) {
                        switch (random.nextInt(12)) {
                            case 0 -> ways.get(random.nextInt(4)).reset();
                            case 1 -> ways.get(random.nextInt(4)).mode(Relay.Mode.DUMB);
                            case 2 -> ways.get(random.nextInt(4)).mode(Relay.Mode.PASS);
                            case 3 -> a.leader = random.nextBoolean() ? "a" : null;
                            case 4 -> m.client.next("drawn");
                            default -> {
                                if (m.client.ask(++request, new Command.Renew(request))) {
                                    taken++;
                                    count(
                                            ends,
                                            random.nextInt(3) > 0
                                                    ? m.heard.poll(60, TimeUnit.SECONDS)
                                                    : m.heard.poll());
                                }
                            }
                        }
                    }
                    // ... and an end of them, after which one is answered.
                    ways.forEach(way -> way.mode(Relay.Mode.PASS));
                    a.leader = "a";
                    for (boolean answered = false; !answered; ) {
                        if (m.client.ask(++request, new Command.Renew(request))) {
                            taken++;
                            answered = count(ends, m.heard.poll(60, TimeUnit.SECONDS));
                        }
                    }
                }
                m.client.close();
                while (!m.heard.isEmpty()) {
                    count(ends, m.heard.poll());
                }
            }
            assertEquals(taken, ends.size(), "seed " + seed);
            ends.forEach((one, times) -> assertEquals(1, times, "seed " + seed + ", request " + one));
        } finally {
            ways.forEach(Relay::close);
        }
    }

    private static boolean count(Map<Long, Integer> ends, Object heard) {
        if (heard instanceof Map.Entry<?, ?> entry) {
            ends.merge((Long) entry.getKey(), 1, Integer::sum);
            return entry.getValue() instanceof Outcome;
        }
        return false;
    }
}
