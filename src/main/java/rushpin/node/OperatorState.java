package rushpin.node;

import java.io.IOException;
import java.nio.file.Path;
import rushpin.console.OutOfService;
import rushpin.console.ProcessMetrics;
import rushpin.console.ProcessRegistry;
import rushpin.net.ErrorLog;

/**
 * What operators' calls go to.
 *
 * @param counts what the process reports
 * @param out which app servers they have taken out, for all processes of this node
 * @param beside which processes these are
 */
public record OperatorState(ProcessMetrics counts, OutOfService out, ProcessRegistry beside) implements AutoCloseable {
    /** Keeps what outlives a process in a folder that all processes of the node share. */
    public static OperatorState in(Path folder) throws IOException {
        return new OperatorState(new ProcessMetrics(), new OutOfService(folder), new ProcessRegistry(folder));
    }

    /** A configuration was read again: taken, or turned down whole. */
    public void configured(boolean taken) {
        counts.configured(taken);
    }

    /** How many other processes act as this node; as good as none where that cannot be told. */
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
