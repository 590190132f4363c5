package rushpin.membership;

import java.util.List;

/** A message of a source of servers: the whole list if {@code complete}, else changed entries. */
public record ServerListUpdate(long revision, boolean complete, List<Member> members) {}
