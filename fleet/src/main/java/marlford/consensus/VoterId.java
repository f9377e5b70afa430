package marlford.consensus;

import io.microraft.RaftEndpoint;

/**
 * Identity of a voter in the replicated log: its name and its disk. A voter whose disk was emptied gets another
 * identity under the same name, so that it is not mistaken for the one that has voted.
 *
 * @param id name, a colon, and 16 hexadecimal digits drawn when the disk was first used
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
