package rushpin.model;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import rushpin.gateway.Ports.Outcome;

/**
 * The shared counter: parts by name, each with one line; a call counts when its turn comes. It may be silent, and
 * it may lose all it knows. Answers to one node and name come in their order, as on the wire.
 */
final class Tallies {
    private static final int MOST_NAMES = 200_000;
    private static final long MOST_LIFE = 60_000_000_000L;

    private record Number(double total, long until) {}

    /** A call that is out, and where its answer goes. */
    static final class Call {
        private final Answer answer;
        private boolean over;

        Call(Answer answer) {
            this.answer = answer;
        }
    }

    /** Where the end of a call goes. */
    interface Answer {
        void ended(Outcome outcome, double total);
    }

    private final Timeline time;
    private final long span, timeout;
    private final long[] freeAt;
    private final Map<Long, Number> numbers = new HashMap<>();
    private boolean silent;
    private long calls;

    Tallies(Timeline time, int parts, long span, long timeout) {
        this.time = time;
        this.span = span;
        this.timeout = timeout;
        freeAt = new long[parts];
    }

    void silent(boolean now) {
        silent = now;
    }

    void blank() {
        numbers.clear();
    }

    long calls() {
        return calls;
    }

    /** A call from a node that is {@code way} off; {@code line} holds that node's calls of this name, the eldest first. */
    void call(Deque<Call> line, long name, double amount, long lifetime, long way, Answer answer) {
        calls++;
        Call call = new Call(answer);
        line.add(call);
        time.after(way, () -> arrive(line, call, name, amount, lifetime, way));
        time.after(timeout, () -> end(line, call, Outcome.TIMEOUT, 0));
    }

    private void arrive(Deque<Call> line, Call call, long name, double amount, long lifetime, long way) {
        if (silent) {
            return;
        }
        int part = (int) Math.floorMod(name, (long) freeAt.length);
        freeAt[part] = Math.max(time.now(), freeAt[part]) + span;
        time.at(freeAt[part], () -> {
            if (!silent) {
                double total = add(name, amount, lifetime);
                time.after(way, () -> end(line, call, Outcome.OK, total));
            }
        });
    }

    private double add(long name, double amount, long lifetime) {
        long now = time.now();
        if (numbers.size() > MOST_NAMES) {
            numbers.values().removeIf(number -> number.until < now);
        }
        Number before = numbers.get(name);
        Number after = before == null || before.until < now
                ? new Number(amount, now + Math.min(MOST_LIFE, lifetime))
                : new Number(before.total + amount, before.until);
        numbers.put(name, after);
        return after.total;
    }

    /** Those before it in its line have lost their answers, and end first. */
    private static void end(Deque<Call> line, Call call, Outcome outcome, double total) {
        if (call.over) {
            return;
        }
        while (!line.isEmpty()) {
            Call first = line.poll();
            first.over = true;
            if (first == call) {
                first.answer.ended(outcome, total);
                return;
            }
            first.answer.ended(Outcome.TIMEOUT, 0);
        }
    }

    static Deque<Call> line() {
        return new ArrayDeque<>();
    }
}
