package rushpin.pooling;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Terms;

/**
 * What one process may have open to one group, as it may see it itself: the fleet's words, renewals of its session and its
 * own count in, a {@link ConnectionGrant} and what is to be said out. A value; no clock, no chance.
 *
 * <p>Words may come late, twice, in any order or not at all: the greatest number of the session at hand counts, and words of
 * other sessions count for nothing. The lease counts from the latest asking that was answered. A process that comes back
 * under another session keeps what it kept when it was cut off, for as long, until the first allotment to the new one.
 *
 * <p>At most one thing is said a round (a third of a lease), and once more when it has closed down to what it may have.
 *
 * @param session whose words count; 0 for none yet
 * @param lease of the session, nanoseconds
 * @param renewalSentAt when the latest renewal that was answered was renewalSentAt
 * @param allotment the allotment that counts; null before the first to this session
 * @param kept how many connections it kept of the session before
 * @param keptUntil until when
 * @param nextSendAt when to say something nextSendAt
 * @param lastCeded what it said last by this allotment to have closed down to
 * @param isLeaving it opens nothing any more
 */
public record GrantState(
        String group,
        long session,
        long lease,
        long renewalSentAt,
        Allotment allotment,
        int kept,
        long keptUntil,
        long nextSendAt,
        int lastCeded,
        boolean isLeaving) {
    private static final int ROUNDS = 3;

    /** Before the first session. */
    public static GrantState none(String group) {
        return new GrantState(group, 0, 0, 0, null, 0, 0, 0, Integer.MAX_VALUE, false);
    }

    /**
     * The session goes on, or there is a new one.
     *
     * @param at when that was <em>renewalSentAt</em>, own time
     */
    public GrantState renewed(long by, long at, Terms terms) {
        if (by < session) {
            return this;
        }
        if (by == session) {
            return at - renewalSentAt <= 0
                    ? this
                    : new GrantState(group, session, lease, at, allotment, kept, keptUntil, nextSendAt, lastCeded, isLeaving);
        }
        return allotment == null
                ? new GrantState(group, by, terms.lease(), at, null, kept, keptUntil, at, Integer.MAX_VALUE, isLeaving)
                : new GrantState(
                        group,
                        by,
                        terms.lease(),
                        at,
                        null,
                        allotment.own(),
                        renewalSentAt + allotment.forget(),
                        at,
                        Integer.MAX_VALUE,
                        isLeaving);
    }

    /** The fleet's allotment, told or answered; of another group or session, or late, it changes nothing. */
    public GrantState notified(Allotment next) {
        if (!next.group().equals(group)
                || session == 0
                || next.session() != session
                || allotment != null && next.number() < allotment.number()) {
            return this;
        }
        boolean isSame = allotment != null && next.number() == allotment.number();
        if (isSame && next.granted() >= allotment.granted()) {
            return this;
        }
        return new GrantState(
                group,
                session,
                lease,
                renewalSentAt,
                next,
                0,
                0,
                isSame ? nextSendAt : renewalSentAt,
                isSame ? lastCeded : Integer.MAX_VALUE,
                isLeaving);
    }

    /** Opens nothing from now on, and says so as it closes down. */
    public GrantState leaving() {
        return new GrantState(group, session, lease, renewalSentAt, allotment, kept, keptUntil, renewalSentAt, lastCeded, true);
    }

    /** Whether nothing is granted to it, by the allotment that counts. */
    public boolean isReleased() {
        return allotment == null || allotment.granted() == 0;
    }

    /** What its pools go by. */
    public ConnectionGrant grant() {
        if (session == 0 || allotment == null && kept == 0) {
            return ConnectionGrant.NONE;
        }
        if (allotment == null) {
            return new ConnectionGrant(isLeaving ? 0 : kept, isLeaving ? 0 : kept, keptUntil, keptUntil, Map.of());
        }
        if (isLeaving) {
            // What is still open ends with the lease all the same.
            return new ConnectionGrant(0, 0, renewalSentAt + lease, renewalSentAt + allotment.forget(), Map.of());
        }
        return new ConnectionGrant(
                allotment.most(),
                allotment.own(),
                renewalSentAt + lease,
                renewalSentAt + allotment.forget(),
                allotment.tenants().stream()
                        .collect(Collectors.toMap(Allotment.Quota::tenant, Allotment.Quota::connections, Math::max)));
    }

    /**
     * What is to be said to the fleet now, if anything: that it has closed down, or, where no allotment came for a lease, what the
     * allotment is. Nothing while the lease is over: it could not be true any more when it is heard.
     *
     * @param open connections that are open, are being made, or may still be open at the group's side, of all its pools, after
     *     all of them have taken the permit
     */
    public Optional<Command.Cede> due(int open, long now) {
        if (session == 0 || now - renewalSentAt - lease >= 0) {
            return Optional.empty();
        }
        if (allotment == null) {
            return now - nextSendAt >= 0 ? Optional.of(new Command.Cede(session, group, 0, 0)) : Optional.empty();
        }
        int most = isLeaving ? 0 : allotment.most(), down = Math.max(open, most);
        boolean isDown = down < allotment.granted();
        if (isDown && (now - nextSendAt >= 0 || down == most && down < lastCeded)) {
            return Optional.of(new Command.Cede(session, group, allotment.number(), down));
        }
        return !isDown && now - nextSendAt >= lease ? Optional.of(new Command.Cede(session, group, 0, 0)) : Optional.empty();
    }

    /** That was sent. */
    public GrantState sent(Command.Cede cede, long now) {
        boolean isAsking = cede.number() == 0;
        return new GrantState(
                group,
                session,
                lease,
                renewalSentAt,
                allotment,
                kept,
                keptUntil,
                now + Math.max(1, lease / ROUNDS),
                isAsking ? lastCeded : Math.min(lastCeded, cede.to()),
                isLeaving);
    }
}
