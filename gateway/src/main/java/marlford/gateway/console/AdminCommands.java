package marlford.gateway.console;

/** What operators may ask of a gateway. All of it returns at once and may be called from any thread. */
public interface AdminCommands {
    /** Whether clients are served here: not before the listener is open, while emptied, or once an end was asked for. */
    boolean ready();

    /** Whether discovery lists this host, or it is left out already. */
    boolean knows(String host);

    /** Empties the gateway of clients until {@link #resume}; a second call changes nothing. */
    void quiesce();

    /** Back to work. */
    void resume();

    /** The hosts left out are now others than before. */
    void leftOutChanged();
}
