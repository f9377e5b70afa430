package marlford.board;

/** Where a row stands: a later one at the same place replaces it. */
record Place(String topic, String key) {
    static Place of(Row r) {
        return new Place(r.topic(), r.key());
    }
}
