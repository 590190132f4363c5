package rushpin.node;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import rushpin.budget.ConnectionBudget;
import rushpin.config.GroupConfig;
import rushpin.gateway.Ports.Request;
import rushpin.net.GroupGate;
import rushpin.net.ServerPool;
import rushpin.pooling.ConnectionGrant;

/**
 * One pool's side of a group of app servers that takes a number of connections from all processes; on the pool's loop. It
 * takes permits, and tells what it has: after each permit, when what was beyond one has ended, and each second.
 */
final class GroupSide {
    /** A permit, and its number in this process. */
    record Numbered(String group, long number, ConnectionGrant permit) {}

    /**
     * What a pool has and wants of its group.
     *
     * @param number the last permit that it took
     * @param open connections that are open, being made, or perhaps not yet ended at the other side
     * @param uses what each tenant wanted and used at most since the account before
     */
    record Account(String group, long number, int open, Map<String, ConnectionBudget.Use> uses) {
        /** Copies. */
        Account {
            uses = Map.copyOf(uses);
        }
    }

    private static final long BEAT_S = 1;

    private final List<String> plans;
    private final GroupGate gate;
    private final Consumer<Account> accounts;
    private final Future<?> beat;
    private GroupConfig group;
    /** Tenants by plan, as the settings number them, and by customer. */
    private String[] byPlan;

    private Map<Long, String> byCustomer;
    private Numbered last;

    /**
     * Lets nothing be opened yet.
     *
     * @param plans as the settings number them
     * @param accounts hears, on the loop; must not block
     */
    GroupSide(GroupConfig group, List<String> plans, ServerPool servers, EventLoop loop, Consumer<Account> accounts) {
        this.plans = plans;
        this.accounts = accounts;
        last = new Numbered(group.name(), 0, ConnectionGrant.NONE);
        gate = servers.joinGroup(group.halfOpen(), group.longest(), this::tenant);
        gate.onWithinGrant(this::tell);
        change(group);
        beat = loop.scheduleAtFixedRate(this::tell, BEAT_S, BEAT_S, TimeUnit.SECONDS);
    }

    /** Goes over to other tenants; requests that are out count for whom they began. */
    void change(GroupConfig next) {
        group = next;
        gate.raiseTimeouts(group.halfOpen(), group.longest());
        byPlan = new String[plans.size()];
        for (int i = 0; i < byPlan.length; i++) {
            String plan = plans.get(i);
            byPlan[i] = group.tenants().stream()
                    .filter(tenant -> tenant.plans().contains(plan))
                    .map(GroupConfig.Tenant::name)
                    .findFirst()
                    .orElse(GroupConfig.OTHERS);
        }
        byCustomer = new HashMap<>();
        group.tenants().forEach(tenant -> tenant.customers().forEach(each -> byCustomer.put(each, tenant.name())));
    }

    private String tenant(Request of) {
        String own = byCustomer.get(of.customer());
        return own != null ? own : of.plan() >= 0 && of.plan() < byPlan.length ? byPlan[of.plan()] : GroupConfig.OTHERS;
    }

    /** From now on this holds. */
    void permit(Numbered next) {
        ConnectionGrant before = last.permit(), now = next.permit();
        last = next;
        gate.setGrant(now);
        if (now.most() != before.most()
                || now.own() != before.own()
                || !now.tenants().equals(before.tenants())) {
            // Renewals of the lease alone come three times in its span, and tell nothing.
            String parts = new TreeMap<>(now.tenants())
                    .entrySet().stream()
                            .map(each -> each.getKey() + ":" + each.getValue())
                            .collect(Collectors.joining(","));
            System.out.println("fleet permit group=" + group.name() + " most=" + now.most() + " own=" + now.own()
                    + " open=" + gate.usage().open() + " tenants=" + (parts.isEmpty() ? "-" : parts) + " at="
                    + System.nanoTime());
        }
        tell();
    }

    private void tell() {
        accounts.accept(new Account(
                group.name(), last.number(), gate.usage().open(), gate.usage().uses()));
    }

    /** Opens nothing any more, and tells nothing more. */
    void close() {
        beat.cancel(false);
        gate.onWithinGrant(() -> {});
        gate.setGrant(ConnectionGrant.NONE);
    }

    /** Tells, once, when nothing is open at the other side any more. */
    void onEmpty(Runnable then) {
        gate.onEmpty(then);
    }
}
