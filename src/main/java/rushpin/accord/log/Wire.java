package rushpin.accord.log;

import org.apache.ratis.conf.Parameters;
import org.apache.ratis.rpc.RpcFactory;
import org.apache.ratis.rpc.RpcType;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.RaftServerRpc;
import org.apache.ratis.server.ServerFactory;
import org.apache.ratis.server.leader.FollowerInfo;
import org.apache.ratis.server.leader.LeaderState;
import org.apache.ratis.server.leader.LogAppender;

/** The library's way to a transport: it makes this by its name and asks it for {@link Transport}, which {@link Replica} hands over. */
public final class Wire implements RpcType, ServerFactory {
    /** Under which {@link Replica} hands over its transport. */
    static final String TRANSPORT = "rushpin.transport";

    private final Parameters parameters;

    /** By the library, from the name. */
    public Wire() {
        this(null);
    }

    private Wire(Parameters parameters) {
        this.parameters = parameters;
    }

    @Override
    public String name() {
        return Wire.class.getName();
    }

    @Override
    public RpcFactory newFactory(Parameters given) {
        return new Wire(given);
    }

    @Override
    public RpcType getRpcType() {
        return this;
    }

    @Override
    public RaftServerRpc newRaftServerRpc(RaftServer server) {
        return parameters.getNonNull(TRANSPORT, Transport.class);
    }

    @Override
    public LogAppender newLogAppender(RaftServer.Division server, LeaderState leads, FollowerInfo to) {
        return new Sender(server, leads, to);
    }
}
