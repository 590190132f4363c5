package rushpin.pooling;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import rushpin.accord.Allotment;
import rushpin.accord.Command;
import rushpin.accord.Terms;

/**
 * The connection grant of one process for one group, as the process itself knows it. Input: allotments from the fleet,
 * session renewals and the process's own count of connections. Output: a {@link ConnectionGrant} and the messages to
 * send to the fleet. An immutable value that reads no clock and uses no randomness.
 *
 * <p>Allotments may arrive late, twice, out of order or never: the one with the greatest number of the current session
 * applies, and allotments of other sessions are ignored. The lease starts when the latest acknowledged renewal was
 * sent. A process that gets a new session keeps the connections that it could keep when it was cut off, for the same
 * time, until the new session has its first allotment.
 *
 * <p>At most one message is sent per third of a lease, and one more when the process has closed down to its grant.
 *
 * <p>Times are nanoseconds of the process's monotonic clock.
 *
 * @param group name of the group of app servers
 * @param session the current session; 0 before the first
 * @param lease duration of the session's lease, nanoseconds
 * @param renewalSentAt when the latest acknowledged renewal was sent
 * @param allotment the allotment that applies; null before the first of this session
 * @param kept connections kept from the previous session
 * @param keptUntil when the kept connections end
 * @param nextSendAt the earliest time of the next message
 * @param lastCeded the connection count of the latest message that reported closing under this allotment;
 *     {@link Integer#MAX_VALUE} if there was none
 * @param isLeaving whether the process opens no more connections because it leaves
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
    /** Messages that a process may send per lease. */
    private static final int MESSAGES_PER_LEASE = 3;

    /** Returns the state before the first session. */
    public static GrantState none(String group) {
        return new GrantState(group, 0, 0, 0, null, 0, 0, 0, Integer.MAX_VALUE, false);
    }

    /**
     * Returns the state after a session was renewed or created; a renewal of an older session changes nothing.
     *
     * @param renewedSession number of the session
     * @param sentAt when the request for it was <em>sent</em>, on the process's clock
     * @param terms the fleet's terms, from which a new session takes its lease
     */
    public GrantState renewed(long renewedSession, long sentAt, Terms terms) {
        if (renewedSession < session) {
            return this;
        }
        if (renewedSession == session) {
            return sentAt - renewalSentAt <= 0
                    ? this
                    : new GrantState(
                            group,
                            session,
                            lease,
                            sentAt,
                            allotment,
                            kept,
                            keptUntil,
                            nextSendAt,
                            lastCeded,
                            isLeaving);
        }
        return allotment == null
                ? new GrantState(
                        group,
                        renewedSession,
                        terms.lease(),
                        sentAt,
                        null,
                        kept,
                        keptUntil,
                        sentAt,
                        Integer.MAX_VALUE,
                        isLeaving)
                : new GrantState(
                        group,
                        renewedSession,
                        terms.lease(),
                        sentAt,
                        null,
                        allotment.own(),
                        renewalSentAt + allotment.forget(),
                        sentAt,
                        Integer.MAX_VALUE,
                        isLeaving);
    }

    /**
     * Returns the state after an allotment arrived, pushed or as an answer. An allotment of another group or session,
     * or an outdated one, changes nothing.
     */
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

    /** Returns the state of a process that leaves: it opens nothing more and reports connections as it closes them. */
    public GrantState leaving() {
        return new GrantState(
                group, session, lease, renewalSentAt, allotment, kept, keptUntil, renewalSentAt, lastCeded, true);
    }

    /** Returns whether the fleet counts no connections for this process under the allotment that applies. */
    public boolean isReleased() {
        return allotment == null || allotment.granted() == 0;
    }

    /** Returns the grant that the pools of this process must keep to. */
    public ConnectionGrant grant() {
        if (session == 0 || allotment == null && kept == 0) {
            return ConnectionGrant.NONE;
        }
        if (allotment == null) {
            return new ConnectionGrant(isLeaving ? 0 : kept, isLeaving ? 0 : kept, keptUntil, keptUntil, Map.of());
        }
        if (isLeaving) {
            // The lease still bounds connections that are open.
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
     * Returns the message to send to the fleet now, if any: that connections were closed or, if no allotment arrived
     * for a lease, a query for the current one (number 0). Empty once the lease is over, as the message could be wrong
     * on arrival.
     *
     * @param open connections of all pools of the group that are open, being made or possibly still open at the
     *     group's side, counted after all pools have applied the grant
     * @param now time on the process's clock
     */
    public Optional<Command.Cede> due(int open, long now) {
        if (session == 0 || now - renewalSentAt - lease >= 0) {
            return Optional.empty();
        }
        if (allotment == null) {
            return now - nextSendAt >= 0 ? Optional.of(new Command.Cede(session, group, 0, 0)) : Optional.empty();
        }
        int max = isLeaving ? 0 : allotment.most();
        int remaining = Math.max(open, max);
        boolean isBelowGranted = remaining < allotment.granted();
        if (isBelowGranted && (now - nextSendAt >= 0 || remaining == max && remaining < lastCeded)) {
            return Optional.of(new Command.Cede(session, group, allotment.number(), remaining));
        }
        return !isBelowGranted && now - nextSendAt >= lease
                ? Optional.of(new Command.Cede(session, group, 0, 0))
                : Optional.empty();
    }

    /** Returns the state after a message of {@link #due} was sent. */
    public GrantState sent(Command.Cede cede, long now) {
        boolean isQuery = cede.number() == 0;
        return new GrantState(
                group,
                session,
                lease,
                renewalSentAt,
                allotment,
                kept,
                keptUntil,
                now + Math.max(1, lease / MESSAGES_PER_LEASE),
                isQuery ? lastCeded : Math.min(lastCeded, cede.to()),
                isLeaving);
    }
}
