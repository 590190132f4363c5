package rushpin.pooling;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Terms;

/**
 * What one process may have open to one group, as it may see it itself: the fleet's words, renewals of its session and its
 * own count in, a {@link Permit} and what is to be said out. A value; no clock, no chance.
 *
 * <p>Words may come late, twice, in any order or not at all: the greatest number of the session at hand counts, and words of
 * other sessions count for nothing. The lease counts from the latest asking that was answered. A process that comes back
 * under another session keeps what it kept when it was cut off, for as long, until the first word to the new one.
 *
 * <p>At most one thing is said a round (a third of a lease), and once more when it has closed down to what it may have.
 *
 * @param session whose words count; 0 for none yet
 * @param lease of the session, nanoseconds
 * @param asked when the latest renewal that was answered was asked
 * @param word the word that counts; null before the first to this session
 * @param kept how many connections it kept of the session before
 * @param keptUntil until when
 * @param again when to say something again
 * @param to what it said last by this word to have closed down to
 * @param isLeaving it opens nothing any more
 */
public record Allowance(
        String group,
        long session,
        long lease,
        long asked,
        Allotment word,
        int kept,
        long keptUntil,
        long again,
        int to,
        boolean isLeaving) {
    private static final int ROUNDS = 3;

    /** Before the first session. */
    public static Allowance none(String group) {
        return new Allowance(group, 0, 0, 0, null, 0, 0, 0, Integer.MAX_VALUE, false);
    }

    /**
     * The session goes on, or there is a new one.
     *
     * @param at when that was <em>asked</em>, own time
     */
    public Allowance renewed(long by, long at, Terms terms) {
        if (by < session) {
            return this;
        }
        if (by == session) {
            return at - asked <= 0
                    ? this
                    : new Allowance(group, session, lease, at, word, kept, keptUntil, again, to, isLeaving);
        }
        return word == null
                ? new Allowance(group, by, terms.lease(), at, null, kept, keptUntil, at, Integer.MAX_VALUE, isLeaving)
                : new Allowance(
                        group,
                        by,
                        terms.lease(),
                        at,
                        null,
                        word.own(),
                        asked + word.forget(),
                        at,
                        Integer.MAX_VALUE,
                        isLeaving);
    }

    /** The fleet's word, told or answered; of another group or session, or late, it changes nothing. */
    public Allowance told(Allotment next) {
        if (!next.group().equals(group)
                || session == 0
                || next.session() != session
                || word != null && next.number() < word.number()) {
            return this;
        }
        boolean isSame = word != null && next.number() == word.number();
        if (isSame && next.granted() >= word.granted()) {
            return this;
        }
        return new Allowance(
                group,
                session,
                lease,
                asked,
                next,
                0,
                0,
                isSame ? again : asked,
                isSame ? to : Integer.MAX_VALUE,
                isLeaving);
    }

    /** Opens nothing from now on, and says so as it closes down. */
    public Allowance leaving() {
        return new Allowance(group, session, lease, asked, word, kept, keptUntil, asked, to, true);
    }

    /** Whether nothing is granted to it, by the word that counts. */
    public boolean isBack() {
        return word == null || word.granted() == 0;
    }

    /** What its pools go by. */
    public Permit permit() {
        if (session == 0 || word == null && kept == 0) {
            return Permit.NONE;
        }
        if (word == null) {
            return new Permit(isLeaving ? 0 : kept, isLeaving ? 0 : kept, keptUntil, keptUntil, Map.of());
        }
        if (isLeaving) {
            // What is still open ends with the lease all the same.
            return new Permit(0, 0, asked + lease, asked + word.forget(), Map.of());
        }
        return new Permit(
                word.most(),
                word.own(),
                asked + lease,
                asked + word.forget(),
                word.tenants().stream()
                        .collect(Collectors.toMap(Allotment.Quota::tenant, Allotment.Quota::connections, Math::max)));
    }

    /**
     * What is to be said to the fleet now, if anything: that it has closed down, or, where no word came for a lease, what the
     * word is. Nothing while the lease is over: it could not be true any more when it is heard.
     *
     * @param open connections that are open, are being made, or may still be open at the group's side, of all its pools, after
     *     all of them have taken the permit
     */
    public Optional<Command.Cede> due(int open, long now) {
        if (session == 0 || now - asked - lease >= 0) {
            return Optional.empty();
        }
        if (word == null) {
            return now - again >= 0 ? Optional.of(new Command.Cede(session, group, 0, 0)) : Optional.empty();
        }
        int most = isLeaving ? 0 : word.most(), down = Math.max(open, most);
        boolean isDown = down < word.granted();
        if (isDown && (now - again >= 0 || down == most && down < to)) {
            return Optional.of(new Command.Cede(session, group, word.number(), down));
        }
        return !isDown && now - again >= lease ? Optional.of(new Command.Cede(session, group, 0, 0)) : Optional.empty();
    }

    /** That was sent. */
    public Allowance said(Command.Cede cede, long now) {
        boolean isAsking = cede.number() == 0;
        return new Allowance(
                group,
                session,
                lease,
                asked,
                word,
                kept,
                keptUntil,
                now + Math.max(1, lease / ROUNDS),
                isAsking ? to : Math.min(to, cede.to()),
                isLeaving);
    }
}
