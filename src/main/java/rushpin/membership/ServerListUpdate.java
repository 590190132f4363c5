package rushpin.membership;

import java.util.List;

/** One message of a source of app servers: the whole server list if {@code complete}, else the changed entries. */
public record ServerListUpdate(long revision, boolean complete, List<Member> members) {}
