package marlford.consensus;

import io.microraft.RaftEndpoint;

/**
 * A voter as the agreed log knows it: its name and the disk it has. An emptied disk makes another point of the same name, so
 * that nobody takes it for the one that gave its vote.
 *
 * @param id name, a colon, and 16 hexadecimal digits that were drawn when the disk was first used
 */
record VoterId(String id) implements RaftEndpoint {
    static VoterId of(String name, long disk) {
        return new VoterId(name + ':' + String.format("%016x", disk));
    }

    String name() {
        return id.substring(0, id.lastIndexOf(':'));
    }

    @Override
    public Object getId() {
        return id;
    }
}
