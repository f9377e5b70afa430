package marlford.board;

/** The key of a row: a later row with the same key replaces it. */
record RowKey(String topic, String key) {
    static RowKey of(Row r) {
        return new RowKey(r.topic(), r.key());
    }
}
