package rushpin.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.MessageLite;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.function.Function;
import rushpin.accord.Allotment;
import rushpin.accord.Budget;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.accord.Outcome;
import rushpin.accord.Plan;
import rushpin.accord.Report;
import rushpin.accord.State;
import rushpin.accord.Terms;
import rushpin.accord.Who;
import rushpin.peer.wire.Wire;

/**
 * Values as protobuf. What does not fit the bounds can neither be written ({@code IllegalArgumentException}) nor read.
 *
 * <p>Versions one apart: a command of a kind that is not known keeps its bytes, and so does one with fields that are not; a
 * reason that is not known is read as {@link Outcome.Reason#UNKNOWN}; an outcome of another kind can't be read, so whoever
 * waits for it takes it as uncertain. Other fields that are not known are left out: who passes something on passes its
 * bytes on.
 */
public final class Codec implements Encoding {
    /**
     * Bytes of a command: below a batch of the log (128 kB), which an entry can't be longer than. A plan of n zones to m
     * zones each by names of k letters takes n m (k + 7) bytes: 64 zones to 16 each by 64 letters, or 50 to all by 20, fit.
     */
    public static final int MOST_COMMAND = 96 << 10;
    /** Bytes of an outcome: two names at most, or a word with its tenants; and room for what newer ones carry. */
    public static final int MOST_OUTCOME = 16 << 10;
    /** Bytes of a snapshot: 10,000 sessions of three names and 50,000 holders take 8 MB. */
    public static final int MOST_STATE = 16 << 20;

    @Override
    public byte[] bytes(Command command) {
        Wire.Command.Builder to = Wire.Command.newBuilder();
        if (command instanceof Command.Found of) {
            to.setFound(Wire.Found.newBuilder().setEra(of.era()).setTerms(wire(of.terms())));
        } else if (command instanceof Command.Tick) {
            to.setTick(Wire.Tick.getDefaultInstance());
        } else if (command instanceof Command.Join of) {
            to.setJoin(Wire.Join.newBuilder().setWho(wire(of.who())));
        } else if (command instanceof Command.Renew of) {
            to.setRenew(Wire.Renew.newBuilder().setSession(of.session()));
        } else if (command instanceof Command.Leave of) {
            to.setLeave(Wire.Leave.newBuilder().setSession(of.session()));
        } else if (command instanceof Command.Acquire of) {
            to.setAcquire(Wire.Acquire.newBuilder().setSession(of.session()).setResource(of.resource()));
        } else if (command instanceof Command.Release of) {
            to.setRelease(Wire.Release.newBuilder()
                    .setSession(of.session())
                    .setResource(of.resource())
                    .setFence(of.fence()));
        } else if (command instanceof Command.Publish of) {
            to.setPublish(Wire.Publish.newBuilder()
                    .setSession(of.session())
                    .setFence(of.fence())
                    .setAfter(of.after())
                    .addAllWays(wire(of.ways()))
                    .addAllMarks(marks(of.marks())));
        } else if (command instanceof Command.Divide of) {
            to.setDivide(Wire.Divide.newBuilder()
                    .setSession(of.session())
                    .setFence(of.fence())
                    .setAfter(of.after())
                    .setGroup(of.group())
                    .setFigures(wire(of.figures()))
                    .addAllTenants(of.tenants())
                    .addAllShares(shares(of.shares())));
        } else if (command instanceof Command.Cede of) {
            to.setCede(Wire.Cede.newBuilder()
                    .setSession(of.session())
                    .setGroup(of.group())
                    .setNumber(of.number())
                    .setTo(of.to()));
        } else if (command instanceof Command.Unknown of) {
            return bounded(of.bytes().clone(), MOST_COMMAND);
        } else if (command instanceof Command.Carried of) {
            return bounded(of.bytes().clone(), MOST_COMMAND);
        } else {
            throw new IllegalArgumentException("no form for " + command.getClass());
        }
        return bounded(to.build(), MOST_COMMAND);
    }

    @Override
    public Command command(byte[] bytes) throws Unreadable {
        return read(bytes, MOST_COMMAND, "command", () -> {
            Wire.Command from = Wire.Command.parseFrom(bytes);
            Command command = switch (from.getKindCase()) {
                case FOUND ->
                    new Command.Found(
                            from.getFound().getEra(), terms(from.getFound().getTerms()));
                case TICK -> new Command.Tick();
                case JOIN -> new Command.Join(who(from.getJoin().getWho()));
                case RENEW -> new Command.Renew(from.getRenew().getSession());
                case LEAVE -> new Command.Leave(from.getLeave().getSession());
                case ACQUIRE ->
                    new Command.Acquire(
                            from.getAcquire().getSession(), from.getAcquire().getResource());
                case RELEASE ->
                    new Command.Release(
                            from.getRelease().getSession(),
                            from.getRelease().getResource(),
                            from.getRelease().getFence());
                case PUBLISH ->
                    new Command.Publish(
                            from.getPublish().getSession(),
                            from.getPublish().getFence(),
                            from.getPublish().getAfter(),
                            ways(from.getPublish().getWaysList()),
                            read(from.getPublish().getMarksList()));
                case DIVIDE ->
                    new Command.Divide(
                            from.getDivide().getSession(),
                            from.getDivide().getFence(),
                            from.getDivide().getAfter(),
                            from.getDivide().getGroup(),
                            figures(from.getDivide().getFigures()),
                            from.getDivide().getTenantsList(),
                            read(from.getDivide().getSharesList(), Codec::share));
                case CEDE ->
                    new Command.Cede(
                            from.getCede().getSession(),
                            from.getCede().getGroup(),
                            from.getCede().getNumber(),
                            from.getCede().getTo());
                // A message of a newer version has at least the field that says its kind.
                case KIND_NOT_SET -> {
                    if (bytes.length == 0) {
                        throw new Unreadable("a command of no bytes");
                    }
                    yield new Command.Unknown(bytes.clone());
                }
            };
            // What would not be written as it came has fields that are not known.
            return Arrays.equals(bytes(command), bytes) ? command : new Command.Carried(command, bytes.clone());
        });
    }

    @Override
    public byte[] bytes(Outcome outcome) {
        Wire.Outcome.Builder to = Wire.Outcome.newBuilder();
        if (outcome instanceof Outcome.Done) {
            to.setDone(Wire.Done.getDefaultInstance());
        } else if (outcome instanceof Outcome.Joined of) {
            to.setJoined(Wire.Joined.newBuilder().setSession(of.session()).setTerms(wire(of.terms())));
        } else if (outcome instanceof Outcome.Granted of) {
            to.setGranted(Wire.Granted.newBuilder().setResource(of.resource()).setFence(of.fence()));
        } else if (outcome instanceof Outcome.Held of) {
            to.setHeld(Wire.Held.newBuilder().setResource(of.resource()).setBy(of.by()));
        } else if (outcome instanceof Outcome.Published of) {
            to.setPublished(Wire.Published.newBuilder().setNumber(of.number()));
        } else if (outcome instanceof Outcome.Divided of) {
            to.setDivided(Wire.Divided.newBuilder().setNumber(of.number()));
        } else if (outcome instanceof Outcome.Allotted of) {
            to.setAllotted(wire(of.word()));
        } else if (outcome instanceof Outcome.Refused of) {
            to.setRefused(Wire.Refused.newBuilder()
                    .setReason(Wire.Refused.Reason.valueOf(of.reason().name())));
        } else {
            throw new IllegalArgumentException("no form for " + outcome.getClass());
        }
        return bounded(to.build(), MOST_OUTCOME);
    }

    @Override
    public Outcome outcome(byte[] bytes) throws Unreadable {
        return read(bytes, MOST_OUTCOME, "outcome", () -> {
            Wire.Outcome from = Wire.Outcome.parseFrom(bytes);
            return switch (from.getKindCase()) {
                case DONE -> new Outcome.Done();
                case JOINED ->
                    new Outcome.Joined(
                            from.getJoined().getSession(),
                            terms(from.getJoined().getTerms()));
                case GRANTED ->
                    new Outcome.Granted(
                            from.getGranted().getResource(), from.getGranted().getFence());
                case HELD ->
                    new Outcome.Held(
                            from.getHeld().getResource(), from.getHeld().getBy());
                case PUBLISHED -> new Outcome.Published(from.getPublished().getNumber());
                case REFUSED ->
                    new Outcome.Refused(
                            from.getRefused().getReason() == Wire.Refused.Reason.UNRECOGNIZED
                                    ? Outcome.Reason.UNKNOWN
                                    : Outcome.Reason.valueOf(
                                            from.getRefused().getReason().name()));
                case DIVIDED -> new Outcome.Divided(from.getDivided().getNumber());
                case ALLOTTED -> new Outcome.Allotted(allotment(from.getAllotted()));
                case KIND_NOT_SET -> throw new Unreadable("an outcome of no known kind");
            };
        });
    }

    @Override
    public byte[] bytes(State state) {
        Wire.State.Builder to = Wire.State.newBuilder()
                .setEra(state.era())
                .setNow(state.now())
                .setLast(state.last())
                .setPlan(wire(state.plan()));
        if (state.terms() != null) {
            to.setTerms(wire(state.terms()));
        }
        for (State.Session each : state.sessions()) {
            to.addSessions(Wire.Session.newBuilder()
                    .setNumber(each.number())
                    .setWho(wire(each.who()))
                    .setUntil(each.until()));
        }
        for (State.Holder each : state.holders()) {
            to.addHolders(Wire.Holder.newBuilder()
                    .setResource(each.resource())
                    .setSession(each.session())
                    .setFence(each.fence()));
        }
        for (Budget each : state.budgets()) {
            to.addBudgets(Wire.Budget.newBuilder()
                    .setGroup(each.group())
                    .setFigures(wire(each.figures()))
                    .setNumber(each.number())
                    .setFence(each.fence())
                    .setAt(each.at())
                    .setFirst(each.first())
                    .setChanges(each.changes())
                    .addAllTenants(each.tenants())
                    .addAllShares(shares(each.shares()))
                    .addAllGrants(each.grants().stream().map(Codec::wire).toList()));
        }
        return bounded(to.build(), MOST_STATE);
    }

    @Override
    public State state(byte[] bytes) throws Unreadable {
        return read(bytes, MOST_STATE, "snapshot", () -> {
            Wire.State from = Wire.State.parseFrom(bytes);
            List<State.Session> sessions = new ArrayList<>(from.getSessionsCount());
            for (Wire.Session each : from.getSessionsList()) {
                sessions.add(new State.Session(each.getNumber(), who(each.getWho()), each.getUntil()));
            }
            List<State.Holder> holders = new ArrayList<>(from.getHoldersCount());
            for (Wire.Holder each : from.getHoldersList()) {
                holders.add(new State.Holder(each.getResource(), each.getSession(), each.getFence()));
            }
            return new State(
                    from.getEra(),
                    from.hasTerms() ? terms(from.getTerms()) : null,
                    from.getNow(),
                    from.getLast(),
                    sessions,
                    holders,
                    plan(from.getPlan()),
                    read(from.getBudgetsList(), Codec::budget));
        });
    }

    private interface Reading<T> {
        T read() throws InvalidProtocolBufferException, Unreadable;
    }

    private static <T> T read(byte[] bytes, int most, String what, Reading<T> reading) throws Unreadable {
        if (bytes.length > most) {
            throw new Unreadable("a " + what + " of " + bytes.length + " bytes, at most " + most);
        }
        try {
            return reading.read();
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            // The second are terms out of their bounds.
            throw new Unreadable("no " + what + ": " + e.getMessage());
        }
    }

    private static byte[] bounded(MessageLite message, int most) {
        if (message.getSerializedSize() > most) {
            throw new IllegalArgumentException(message.getSerializedSize() + " bytes, at most " + most);
        }
        return message.toByteArray();
    }

    private static byte[] bounded(byte[] bytes, int most) {
        if (bytes.length > most) {
            throw new IllegalArgumentException(bytes.length + " bytes, at most " + most);
        }
        return bytes;
    }

    static Wire.Plan wire(Plan plan) {
        return Wire.Plan.newBuilder()
                .setNumber(plan.number())
                .setFence(plan.fence())
                .addAllWays(wire(plan.ways()))
                .addAllMarks(marks(plan.marks()))
                .build();
    }

    static Plan plan(Wire.Plan from) {
        return new Plan(from.getNumber(), from.getFence(), ways(from.getWaysList()), read(from.getMarksList()));
    }

    private static List<Wire.Mark> marks(List<Plan.Mark> marks) {
        return marks.stream()
                .map(mark -> Wire.Mark.newBuilder()
                        .setFrom(mark.from())
                        .setZone(mark.zone())
                        .setOf(mark.of())
                        .setOpen(mark.open())
                        .setSince(mark.since())
                        .setRelapses(mark.relapses())
                        .build())
                .toList();
    }

    private static List<Plan.Mark> read(List<Wire.Mark> from) {
        return from.stream()
                .map(mark -> new Plan.Mark(
                        mark.getFrom(),
                        mark.getZone(),
                        mark.getOf(),
                        mark.getOpen(),
                        mark.getSince(),
                        mark.getRelapses()))
                .toList();
    }

    private static List<Wire.Way> wire(List<Plan.Way> ways) {
        List<Wire.Way> to = new ArrayList<>(ways.size());
        for (Plan.Way way : ways) {
            Wire.Way.Builder made = Wire.Way.newBuilder().setFrom(way.from()).setOf(way.of());
            for (Plan.Part part : way.parts()) {
                made.addParts(Wire.Part.newBuilder()
                        .setTo(part.to())
                        .setThousandths(part.thousandths())
                        .setSpare(part.spare()));
            }
            to.add(made.build());
        }
        return to;
    }

    private static List<Plan.Way> ways(List<Wire.Way> from) {
        List<Plan.Way> ways = new ArrayList<>(from.size());
        for (Wire.Way way : from) {
            List<Plan.Part> parts = new ArrayList<>(way.getPartsCount());
            for (Wire.Part part : way.getPartsList()) {
                parts.add(new Plan.Part(part.getTo(), part.getThousandths(), part.getSpare()));
            }
            ways.add(new Plan.Way(way.getFrom(), way.getOf(), parts));
        }
        return ways;
    }

    private static <A, B> List<B> read(List<A> from, Function<A, B> each) {
        return from.stream().map(each).toList();
    }

    private static Wire.Figures wire(Budget.Figures of) {
        return Wire.Figures.newBuilder()
                .setMost(of.most())
                .setReserve(of.reserve())
                .setOwn(of.own())
                .setHalfOpen(of.halfOpen())
                .setForget(of.forget())
                .build();
    }

    private static Budget.Figures figures(Wire.Figures from) {
        return new Budget.Figures(
                from.getMost(), from.getReserve(), from.getOwn(), from.getHalfOpen(), from.getForget());
    }

    private static List<Wire.Share> shares(List<Budget.Share> shares) {
        return shares.stream()
                .map(share -> Wire.Share.newBuilder()
                        .setSession(share.session())
                        .setConnections(share.connections())
                        .addAllTenants(share.tenants())
                        .build())
                .toList();
    }

    private static Budget.Share share(Wire.Share from) {
        return new Budget.Share(from.getSession(), from.getConnections(), from.getTenantsList());
    }

    private static Wire.Grant wire(Budget.Grant of) {
        return Wire.Grant.newBuilder()
                .setSession(of.session())
                .setName(of.name())
                .setIncarnation(of.incarnation())
                .setNumber(of.number())
                .setMost(of.most())
                .setOwn(of.own())
                .setGranted(of.granted())
                .setFloor(of.floor())
                .setRenewed(of.renewed())
                .build();
    }

    private static Budget budget(Wire.Budget from) {
        return new Budget(
                from.getGroup(),
                figures(from.getFigures()),
                from.getNumber(),
                from.getFence(),
                from.getAt(),
                from.getFirst(),
                from.getChanges(),
                from.getTenantsList(),
                read(from.getSharesList(), Codec::share),
                read(
                        from.getGrantsList(),
                        each -> new Budget.Grant(
                                each.getSession(),
                                each.getName(),
                                each.getIncarnation(),
                                each.getNumber(),
                                each.getMost(),
                                each.getOwn(),
                                each.getGranted(),
                                each.getFloor(),
                                each.getRenewed())));
    }

    static Wire.Allotment wire(Allotment of) {
        return Wire.Allotment.newBuilder()
                .setGroup(of.group())
                .setSession(of.session())
                .setNumber(of.number())
                .setMost(of.most())
                .setOwn(of.own())
                .setGranted(of.granted())
                .setForget(of.forget())
                .setHalfOpen(of.halfOpen())
                .addAllTenants(of.tenants().stream()
                        .map(each -> Wire.Quota.newBuilder()
                                .setTenant(each.tenant())
                                .setConnections(each.connections())
                                .build())
                        .toList())
                .build();
    }

    static Allotment allotment(Wire.Allotment from) {
        return new Allotment(
                from.getGroup(),
                from.getSession(),
                from.getNumber(),
                from.getMost(),
                from.getOwn(),
                from.getGranted(),
                from.getForget(),
                from.getHalfOpen(),
                read(from.getTenantsList(), each -> new Allotment.Quota(each.getTenant(), each.getConnections())));
    }

    private static Wire.Terms wire(Terms terms) {
        return Wire.Terms.newBuilder()
                .setLease(terms.lease())
                .setDrift(terms.drift())
                .setEffect(terms.effect())
                .setMostSessions(terms.mostSessions())
                .setMostHeld(terms.mostHeld())
                .build();
    }

    private static Terms terms(Wire.Terms from) {
        return new Terms(
                from.getLease(), from.getDrift(), from.getEffect(), from.getMostSessions(), from.getMostHeld());
    }

    static Wire.Who wire(Who who) {
        return Wire.Who.newBuilder()
                .setName(who.name())
                .setIncarnation(who.incarnation())
                .setZone(who.zone())
                .setRegion(who.region())
                .setLevel(who.level())
                .build();
    }

    static Who who(Wire.Who from) {
        return new Who(from.getName(), from.getIncarnation(), from.getZone(), from.getRegion(), from.getLevel());
    }

    static Wire.Report wire(Report report) {
        Wire.Report.Builder to = Wire.Report.newBuilder()
                .setSession(report.session())
                .setSequence(report.sequence())
                .setProcess(report.process())
                .setZone(report.zone())
                .setSpan(report.span())
                .setTrouble(report.trouble());
        for (Report.Seen each : report.seen()) {
            to.addSeen(Wire.Seen.newBuilder()
                    .setZone(each.zone())
                    .setOf(each.of())
                    .setSent(each.sent())
                    .setOk(each.ok())
                    .setFailed(each.failed())
                    .setSlow(each.slow())
                    .setUnreachable(each.unreachable()));
        }
        for (Report.Stock each : report.stocks()) {
            to.addStocks(Wire.Stock.newBuilder()
                    .setZone(each.zone())
                    .setReady(each.ready())
                    .setWarm(each.warm())
                    .setHeld(each.held()));
        }
        for (Report.Entered each : report.entered()) {
            to.addEntered(Wire.Entered.newBuilder().setOf(each.of()).setCount(each.count()));
        }
        for (Report.Need each : report.needs()) {
            to.addNeeds(Wire.Need.newBuilder()
                    .setGroup(each.group())
                    .setTenant(each.tenant())
                    .setWanted(each.wanted())
                    .setUsed(each.used()));
        }
        return to.build();
    }

    static Report report(Wire.Report from) {
        List<Report.Seen> seen = from.getSeenList().stream()
                .map(each -> new Report.Seen(
                        each.getZone(),
                        each.getOf(),
                        each.getSent(),
                        each.getOk(),
                        each.getFailed(),
                        each.getSlow(),
                        each.getUnreachable()))
                .toList();
        List<Report.Stock> stocks = from.getStocksList().stream()
                .map(each -> new Report.Stock(each.getZone(), each.getReady(), each.getWarm(), each.getHeld()))
                .toList();
        List<Report.Entered> entered = from.getEnteredList().stream()
                .map(each -> new Report.Entered(each.getOf(), each.getCount()))
                .toList();
        return new Report(
                from.getSession(),
                from.getSequence(),
                from.getProcess(),
                from.getZone(),
                from.getSpan(),
                from.getTrouble(),
                seen,
                stocks,
                entered,
                read(
                        from.getNeedsList(),
                        each -> new Report.Need(each.getGroup(), each.getTenant(), each.getWanted(), each.getUsed())));
    }

    static Wire.Introduction wire(Introduced of) {
        return Wire.Introduction.newBuilder()
                .setName(of.name())
                .setId(of.id())
                .setBlank(of.blank())
                .setEra(of.era())
                .setGroup(of.group() == null ? "" : of.group())
                .addAllMembers(of.members())
                .build();
    }

    static Introduced introduced(Wire.Introduction from) {
        return new Introduced(
                from.getName(),
                from.getId(),
                from.getBlank(),
                from.getEra(),
                from.getGroup().isEmpty() ? null : from.getGroup(),
                from.getMembersList());
    }
}
