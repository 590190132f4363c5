package rushpin.model;

import java.util.LinkedHashMap;
import java.util.Map;

/** What a group of servers remembers of keys: a repeat within the window takes no effect. */
final class Keys {
    private static final int MOST = 200_000;
    private final Map<String, Long> since = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
            return size() > MOST;
        }
    };

    /** Whether a request of this key takes effect now. */
    boolean begins(String key, long now, long window) {
        Long before = since.get(key);
        if (before != null && now - before <= window) {
            return false;
        }
        since.remove(key);
        since.put(key, now);
        return true;
    }
}
