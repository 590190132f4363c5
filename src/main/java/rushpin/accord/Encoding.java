package rushpin.accord;

/** Values as bytes, for the log and between processes. Implemented where protobuf is known. */
public interface Encoding {
    /** Bytes that are none of ours. */
    final class Unreadable extends Exception {
        private static final long serialVersionUID = 1L;

        /** Says what is wrong. */
        public Unreadable(String message) {
            super(message);
        }
    }

    /** A command as bytes. */
    byte[] bytes(Command command);

    /** The command; one that this version does not know as {@link Command.Unknown}. */
    Command command(byte[] bytes) throws Unreadable;

    /** An outcome as bytes. */
    byte[] bytes(Outcome outcome);

    /** The outcome. */
    Outcome outcome(byte[] bytes) throws Unreadable;

    /** A snapshot as bytes. */
    byte[] bytes(State state);

    /** The snapshot. */
    State state(byte[] bytes) throws Unreadable;
}
