package rushpin.accord;

/** A command as it stands in the log: {@code at} is log time, stamped by the voter that led. */
public record Entry(long at, Command command) {}
