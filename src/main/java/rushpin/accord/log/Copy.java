package rushpin.accord.log;

import java.io.File;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Collection;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Supplier;
import org.apache.ratis.io.MD5Hash;
import org.apache.ratis.proto.RaftProtos.LogEntryProto;
import org.apache.ratis.proto.RaftProtos.RoleInfoProto;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftGroupMemberId;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.protocol.TermIndex;
import org.apache.ratis.server.storage.FileInfo;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachineStorage;
import org.apache.ratis.statemachine.TransactionContext;
import org.apache.ratis.statemachine.impl.BaseStateMachine;
import org.apache.ratis.statemachine.impl.SimpleStateMachineStorage;
import org.apache.ratis.statemachine.impl.SingleFileSnapshotInfo;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.thirdparty.com.google.protobuf.UnsafeByteOperations;
import org.apache.ratis.util.LifeCycle;
import org.apache.ratis.util.MD5FileUtil;
import rushpin.accord.Applied;
import rushpin.accord.Command;
import rushpin.accord.Encoding;
import rushpin.accord.Entry;
import rushpin.accord.Outcome;
import rushpin.accord.State;

/**
 * The library's face of our machine: stamps what this voter appends, applies what was decided, writes and reads snapshots. An entry's
 * bytes are its stamp (8, the highest first), then the command.
 */
final class Copy extends BaseStateMachine {
    /** Bytes of a stamp. */
    static final int STAMP = Long.BYTES;

    /** What the replica hears; on the library's threads. */
    interface Ear {
        /** The entry of this call is about to be appended here; returns its stamp. In the log's order. */
        long appending(long call);

        void applied(long at, Command command, Applied what);

        void restored(State state);

        /** Something about who leads has changed. */
        void leadership();

        /** This voter is out for good. */
        void broken(String why, Throwable cause);
    }

    /** An outcome on its way to who proposed, in this process. */
    record Said(Outcome outcome) implements Message {
        @Override
        public ByteString getContent() {
            return ByteString.EMPTY;
        }
    }

    private final Function<State, Applier> machines;
    private final Encoding encoding;
    private final Ear ear;
    /** What the log waits for with each write to the disk. */
    private final Supplier<CompletableFuture<Void>> store;

    private final SimpleStateMachineStorage storage = new SimpleStateMachineStorage();
    /** The log's. */
    private volatile Path files;
    /** Touched by the library's applying thread, and while that one rests. */
    private Applier machine;

    Copy(Function<State, Applier> machines, Encoding encoding, Supplier<CompletableFuture<Void>> store, Ear ear) {
        this.machines = machines;
        this.store = store;
        this.encoding = encoding;
        this.ear = ear;
        this.machine = machines.apply(State.EMPTY);
    }

    /** The stamp of an entry's bytes. */
    static long stamp(ByteString entry) {
        return entry.size() < STAMP ? 0 : entry.asReadOnlyByteBuffer().getLong();
    }

    @Override
    public void initialize(RaftServer server, RaftGroupId group, RaftStorage disk) throws IOException {
        getLifeCycle().startAndTransition(() -> {
            super.initialize(server, group, disk);
            storage.init(disk);
            files = disk.getStorageDir().getCurrentDir().toPath();
            restore();
        });
    }

    @Override
    public void pause() {
        getLifeCycle().transition(LifeCycle.State.PAUSING);
        getLifeCycle().transition(LifeCycle.State.PAUSED);
    }

    @Override
    public void reinitialize() throws IOException {
        storage.loadLatestSnapshot();
        restore();
        if (getLifeCycleState() == LifeCycle.State.PAUSED) {
            getLifeCycle().transition(LifeCycle.State.STARTING);
            getLifeCycle().transition(LifeCycle.State.RUNNING);
        }
    }

    @Override
    public StateMachineStorage getStateMachineStorage() {
        return storage;
    }

    private void restore() throws IOException {
        SingleFileSnapshotInfo snapshot = storage.getLatestSnapshot();
        if (snapshot == null) {
            return;
        }
        File file = snapshot.getFile().getPath().toFile();
        State state;
        try {
            MD5FileUtil.verifySavedMD5(file, MD5FileUtil.computeMd5ForFile(file));
            state = encoding.state(Files.readAllBytes(file.toPath()));
        } catch (IOException | Encoding.Unreadable e) {
            throw new IOException(
                    "snapshot " + file + " is damaged; empty the folder, and it comes back as a new voter", e);
        }
        machine = machines.apply(state);
        setLastAppliedTermIndex(snapshot.getTermIndex());
        ear.restored(state);
    }

    /** On the applying thread, between two entries. On the disk before it is one. */
    @Override
    public long takeSnapshot() throws IOException {
        TermIndex last = getLastAppliedTermIndex();
        if (last == null || last.getIndex() < 0) {
            return -1;
        }
        File file = storage.getSnapshotFile(last.getTerm(), last.getIndex());
        Path next = file.toPath().resolveSibling("next." + file.getName());
        byte[] bytes = encoding.bytes(machine.state());
        try (FileChannel channel = FileChannel.open(
                next, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.TRUNCATE_EXISTING)) {
            ByteBuffer left = ByteBuffer.wrap(bytes);
            while (left.hasRemaining()) {
                channel.write(left);
            }
            channel.force(true);
        }
        MD5Hash sum = MD5Hash.digest(bytes);
        MD5FileUtil.saveMD5File(file, sum);
        Files.move(next, file.toPath(), StandardCopyOption.ATOMIC_MOVE);
        Folder.force(file.toPath().getParent());
        storage.updateLatestSnapshot(new SingleFileSnapshotInfo(new FileInfo(file.toPath(), sum), last));
        return last.getIndex();
    }

    @Override
    public TransactionContext startTransaction(RaftClientRequest request) {
        // the stamp's place is left free until the entry's place in the log is known; nobody has read the bytes until
        // then
        byte[] command = request.getMessage().getContent().toByteArray();
        byte[] entry = new byte[STAMP + command.length];
        System.arraycopy(command, 0, entry, STAMP, command.length);
        return TransactionContext.newBuilder()
                .setStateMachine(this)
                .setClientRequest(request)
                .setLogData(UnsafeByteOperations.unsafeWrap(entry))
                .setStateMachineContext(entry)
                .build();
    }

    @Override
    public TransactionContext preAppendTransaction(TransactionContext transaction) {
        byte[] entry = (byte[]) transaction.getStateMachineContext();
        ByteBuffer.wrap(entry)
                .putLong(ear.appending(transaction.getClientRequest().getCallId()));
        return transaction;
    }

    @Override
    public CompletableFuture<Message> applyTransaction(TransactionContext transaction) {
        LogEntryProto entry = transaction.getLogEntry();
        ByteString bytes = entry.getStateMachineLogEntry().getLogData();
        long at = stamp(bytes);
        byte[] body =
                bytes.size() < STAMP ? new byte[0] : bytes.substring(STAMP).toByteArray();
        Command command;
        try {
            command = encoding.command(body);
        } catch (Encoding.Unreadable e) {
            // alike at all voters, as the log is
            command = new Command.Unknown(body);
        }
        try {
            Applied what = machine.apply(new Entry(at, command));
            updateLastAppliedTermIndex(entry.getTerm(), entry.getIndex());
            ear.applied(at, command instanceof Command.Carried carried ? carried.of() : command, what);
            return CompletableFuture.completedFuture(new Said(what.outcome()));
        } catch (RuntimeException e) {
            ear.broken("entry " + entry.getIndex() + " can't be applied", e);
            return CompletableFuture.failedFuture(e);
        }
    }

    /** With each write of the log, before it counts as stored: the library puts a new file's bytes on the disk, not its name. */
    @Override
    public CompletableFuture<Void> flush(long index) {
        try {
            Folder.force(files);
        } catch (IOException e) {
            return CompletableFuture.failedFuture(e);
        }
        return store.get();
    }

    @Override
    public void notifyLeaderChanged(RaftGroupMemberId member, RaftPeerId leader) {
        ear.leadership();
    }

    @Override
    public void notifyLeaderReady() {
        ear.leadership();
    }

    @Override
    public void notifyNotLeader(Collection<TransactionContext> pending) {
        ear.leadership();
    }

    @Override
    public void notifyLogFailed(Throwable cause, LogEntryProto failed) {
        ear.broken("the log can't be written", cause);
    }

    @Override
    public void notifyServerShutdown(RoleInfoProto role, boolean all) {
        ear.broken("no voter any more", null);
    }
}
