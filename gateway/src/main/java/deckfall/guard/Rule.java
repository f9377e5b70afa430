package deckfall.guard;

/** What is never to happen. The names stand in the log, in lower case. */
public enum Rule {
    /** A client that had stopped was left without an end for longer than it is owed. */
    CLIENT_LEFT_OPEN
}
