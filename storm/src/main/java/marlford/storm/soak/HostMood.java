package marlford.storm.soak;

/** What a host does with whoever asks it. */
enum HostMood {
    WELL,
    HANGS,
    SLOW,
    RESETS,
    CUTS_ANSWERS,
    /** Resets what it works on, and accepts no connection, so that new ones come up late. */
    ACCEPTS_LATE
}
