package rushpin.model;

import rushpin.gateway.Ports;

/** A host between a module and its node that changes what one of them says. */
abstract class Bent implements Ports.Actions {
    final Ports.Actions to;

    Bent(Ports.Actions to) {
        this.to = to;
    }

    @Override
    public void send(String id, String server, long patience) {
        to.send(id, server, patience);
    }

    @Override
    public void refuse(String id, long retryAfter) {
        to.refuse(id, retryAfter);
    }

    @Override
    public void fail(String id) {
        to.fail(id);
    }

    @Override
    public void probe(String server) {
        to.probe(server);
    }

    @Override
    public void count(long customer, long name, double amount, long lifetime) {
        to.count(customer, name, amount, lifetime);
    }

    @Override
    public void timer(long token, long span) {
        to.timer(token, span);
    }

    @Override
    public void watchList() {
        to.watchList();
    }

    @Override
    public void log(String text) {
        to.log(text);
    }
}
