package rushpin.node;

import java.io.IOException;
import java.nio.file.Path;
import rushpin.console.OutOfService;
import rushpin.console.ProcessMetrics;
import rushpin.console.ProcessRegistry;
import rushpin.console.RequestIdTable;
import rushpin.net.ErrorLog;

/**
 * State that operators' console calls act on.
 *
 * @param counts the metrics of the process
 * @param out the app servers that operators have disabled, for all processes of this node
 * @param beside the processes that act as this node
 * @param requestIds the request IDs that these processes have taken
 */
public record OperatorState(ProcessMetrics counts, OutOfService out, ProcessRegistry beside, RequestIdTable requestIds)
        implements AutoCloseable {
    private static final String REQUEST_IDS_FILE = "request-ids";

    /** Creates the state, which keeps what outlives a process in a folder that all processes of the node share. */
    public static OperatorState in(Path folder) throws IOException {
        ProcessRegistry registry = new ProcessRegistry(folder);
        return new OperatorState(new ProcessMetrics(), new OutOfService(folder), registry, requestIds(folder));
    }

    /** Without a usable file, the process remembers the IDs that it has taken itself. */
    private static RequestIdTable requestIds(Path folder) {
        try {
            return RequestIdTable.shared(folder.resolve(REQUEST_IDS_FILE));
        } catch (IOException e) {
            ErrorLog.report("request IDs are not shared with other processes of this node", e);
            return RequestIdTable.local();
        }
    }

    /** Counts a reload of the configuration, which was applied or rejected as a whole. */
    public void configured(boolean applied) {
        counts.configured(applied);
    }

    /** Returns how many other processes act as this node; 0 if that cannot be determined. */
    int others() {
        try {
            return beside.others();
        } catch (IOException e) {
            ErrorLog.report("the folder of this node's processes", e);
            return 0;
        }
    }

    @Override
    public void close() {
        try {
            beside.close();
        } catch (IOException e) {
            ErrorLog.report("the folder of this node's processes", e);
        }
    }
}
