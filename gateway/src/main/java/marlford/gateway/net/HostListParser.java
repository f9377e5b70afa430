package marlford.gateway.net;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import io.netty.buffer.ByteBuf;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import marlford.gateway.list.HostList;

/**
 * Parses one response of a discovery agent incrementally, from parts of any size. Neither the text nor a tree of it is kept:
 * a list takes only the memory of its entries, and their number is bounded. Unknown fields are skipped. Not thread-safe.
 */
final class HostListParser {
    private static final int MAX_STRING_CHARS = 64 * 1024; // characters of one value
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(MAX_STRING_CHARS).build()).build();
    private static final int MAX_INVALID_ENTRIES_LOGGED = 5; // invalid entries that are logged one by one; the others are only counted

    /** Where in the document the parser is: DOCUMENT is the outer object, SERVERS its array of entries. */
    private enum Position { START, DOCUMENT, SERVERS, ENTRY, END }

    private final int maxHosts;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final HostEntryReader entry = new HostEntryReader();
    private final List<Discovery.Entry> entries = new ArrayList<>();
    private Position position = Position.START;
    private int skippedDepth; // nesting depth within an unknown value; 0 outside of one
    private String field = "";
    private long version = HostList.NO_VERSION;
    private boolean full;
    private int invalidEntries;

    /** @param maxHosts how many hosts the list may name; a longer list is rejected with a {@link ListTooLongException} */
    HostListParser(int maxHosts) throws IOException {
        this.maxHosts = maxHosts;
        this.parser = FACTORY.createNonBlockingByteArrayParser();
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Parses the next bytes; the caller keeps ownership of the buffer. Bytes behind the end of the document are ignored. */
    void feed(ByteBuf part) throws IOException {
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        feed(bytes);
    }

    /** Parses the next bytes. The array is not used after this call. */
    void feed(byte[] bytes) throws IOException {
        if (position == Position.END || bytes.length == 0) {
            return;
        }
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
                onToken(t);
                if (position == Position.END) {
                    return;
                }
            }
        } catch (JsonProcessingException e) {
            throw new UnreadableListException("the list of hosts is not valid JSON: " + e.getOriginalMessage(), e);
        }
    }

    /** Returns the result, once all bytes were fed. */
    HostListUpdate end() throws IOException {
        if (position != Position.END) {
            throw new UnreadableListException("the list of hosts is truncated");
        }
        if (invalidEntries > MAX_INVALID_ENTRIES_LOGGED) {
            Node.log("discovery: " + (invalidEntries - MAX_INVALID_ENTRIES_LOGGED) + " further entries in the list of hosts are invalid");
        }
        return new HostListUpdate(version, full, entries);
    }

    private void onToken(JsonToken token) throws IOException {
        if (skippedDepth > 0) {
            skippedDepth += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (position) {
            case START -> onStart(token);
            case DOCUMENT -> onListToken(token);
            case SERVERS -> onServersToken(token);
            case ENTRY -> onEntryToken(token);
            default -> throw new IllegalStateException("token after the end of the document");
        }
    }

    private void onStart(JsonToken token) throws IOException {
        if (token != JsonToken.START_OBJECT) {
            throw new UnreadableListException("the list of hosts is not a JSON object");
        }
        position = Position.DOCUMENT;
    }

    private void onListToken(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            position = Position.END;
        } else if (token == JsonToken.START_ARRAY && field.equals(Discovery.SERVERS_FIELD)) {
            position = Position.SERVERS;
            entries.clear();
        } else if (token.isStructStart()) {
            skippedDepth = 1;
        } else if (field.equals("version")) {
            version = parser.getValueAsLong(HostList.NO_VERSION);
        } else if (field.equals("full")) {
            full = parser.getValueAsBoolean(false);
        }
    }

    private void onServersToken(JsonToken token) throws IOException {
        if (token == JsonToken.END_ARRAY) {
            position = Position.DOCUMENT;
        } else if (token == JsonToken.START_OBJECT) {
            entry.reset();
            position = Position.ENTRY;
        } else {
            skippedDepth = token.isStructStart() ? 1 : 0;
            onInvalidEntry("", "expected a JSON object, but found a value of another type");
        }
    }

    private void onEntryToken(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            position = Position.SERVERS;
            addEntry();
        } else if (token.isStructStart()) {
            skippedDepth = 1;
        } else if (token != JsonToken.VALUE_NULL) {
            entry.set(field, parser);
        }
    }

    private void addEntry() throws ListTooLongException {
        Discovery.Entry read;
        try {
            read = entry.toEntry();
        } catch (IllegalArgumentException invalid) {
            onInvalidEntry(entry.id(), invalid.getMessage());
            read = entry.toDrainingEntry(); // null without an id
        }
        if (read == null) {
            return;
        }
        if (entries.size() >= maxHosts) {
            throw new ListTooLongException(maxHosts);
        }
        entries.add(read);
    }

    private void onInvalidEntry(String id, String reason) {
        if (++invalidEntries <= MAX_INVALID_ENTRIES_LOGGED) {
            Node.log("discovery: invalid entry with id '" + id + "' in the list of hosts: " + reason);
        }
    }
}
