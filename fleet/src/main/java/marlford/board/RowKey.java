package marlford.board;

/** Where a row stands: a later one at the same place replaces it. */
record RowKey(String topic, String key) {
    static RowKey of(Row r) {
        return new RowKey(r.topic(), r.key());
    }
}
