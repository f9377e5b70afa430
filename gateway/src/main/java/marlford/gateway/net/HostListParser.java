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
 * Reads one answer of discovery from its bytes as they come, whatever the pieces. Neither the text nor a tree of it is
 * held: a list takes the memory of its entries, and their number is bounded. Fields that are not known are passed over.
 * Not thread-safe.
 */
final class HostListParser {
    private static final int STRING_MAX = 64 * 1024; // characters of one value
    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder().maxStringLength(STRING_MAX).build()).build();
    private static final int FAULTS_LOGGED = 5; // entries that can't be read, each with a line of its own

    private enum Place { BEGIN, LIST, SERVERS, ENTRY, END }

    private final int maxHosts;
    private final JsonParser parser;
    private final ByteArrayFeeder feeder;
    private final HostEntryReader entry = new HostEntryReader();
    private final List<Discovery.Entry> entries = new ArrayList<>();
    private Place place = Place.BEGIN;
    private int passedOver; // depth of a value that is not known
    private String field = "";
    private long version = HostList.NONE;
    private boolean full;
    private int faults;

    /** @param maxHosts that the answer may name; a further one is a {@link ListTooLongException} */
    HostListParser(int maxHosts) throws IOException {
        this.maxHosts = maxHosts;
        this.parser = FACTORY.createNonBlockingByteArrayParser();
        this.feeder = (ByteArrayFeeder) parser.getNonBlockingInputFeeder();
    }

    /** Reads the next bytes; the buffer stays the caller's. What follows the answer's end is ignored. */
    void feed(ByteBuf part) throws IOException {
        byte[] bytes = new byte[part.readableBytes()];
        part.getBytes(part.readerIndex(), bytes);
        feed(bytes);
    }

    /** The same, of an array that the caller leaves alone until this returns. */
    void feed(byte[] bytes) throws IOException {
        if (place == Place.END || bytes.length == 0) {
            return;
        }
        try {
            feeder.feedInput(bytes, 0, bytes.length);
            for (JsonToken t = parser.nextToken(); t != JsonToken.NOT_AVAILABLE; t = parser.nextToken()) {
                token(t);
                if (place == Place.END) {
                    return;
                }
            }
        } catch (JsonProcessingException e) {
            throw new UnreadableListException("the list can't be read: " + e.getOriginalMessage(), e);
        }
    }

    /** The answer, once all of its bytes were fed. */
    HostListAnswer end() throws IOException {
        if (place != Place.END) {
            throw new UnreadableListException("the list ends inside its text");
        }
        if (faults > FAULTS_LOGGED) {
            Node.log("discovery: " + (faults - FAULTS_LOGGED) + " further entries can't be read");
        }
        return new HostListAnswer(version, full, entries);
    }

    private void token(JsonToken token) throws IOException {
        if (passedOver > 0) {
            passedOver += token.isStructStart() ? 1 : token.isStructEnd() ? -1 : 0;
            return;
        }
        switch (place) {
            case BEGIN -> begin(token);
            case LIST -> inList(token);
            case SERVERS -> inServers(token);
            case ENTRY -> inEntry(token);
            default -> throw new IllegalStateException("beyond the end");
        }
    }

    private void begin(JsonToken token) throws IOException {
        if (token != JsonToken.START_OBJECT) {
            throw new UnreadableListException("the list is no JSON object");
        }
        place = Place.LIST;
    }

    private void inList(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            place = Place.END;
        } else if (token == JsonToken.START_ARRAY && field.equals(Discovery.LIST)) {
            place = Place.SERVERS;
            entries.clear();
        } else if (token.isStructStart()) {
            passedOver = 1;
        } else if (field.equals("version")) {
            version = parser.getValueAsLong(HostList.NONE);
        } else if (field.equals("full")) {
            full = parser.getValueAsBoolean(false);
        }
    }

    private void inServers(JsonToken token) throws IOException {
        if (token == JsonToken.END_ARRAY) {
            place = Place.LIST;
        } else if (token == JsonToken.START_OBJECT) {
            entry.clear();
            place = Place.ENTRY;
        } else {
            passedOver = token.isStructStart() ? 1 : 0;
            fault("", "not an object");
        }
    }

    private void inEntry(JsonToken token) throws IOException {
        if (token == JsonToken.FIELD_NAME) {
            field = parser.currentName();
        } else if (token == JsonToken.END_OBJECT) {
            place = Place.SERVERS;
            add();
        } else if (token.isStructStart()) {
            passedOver = 1;
        } else if (token != JsonToken.VALUE_NULL) {
            entry.set(field, parser);
        }
    }

    private void add() throws ListTooLongException {
        Discovery.Entry read;
        try {
            read = entry.entry();
        } catch (IllegalArgumentException bad) {
            fault(entry.id(), bad.getMessage());
            read = entry.drained();
        }
        if (read == null) {
            return;
        }
        if (entries.size() >= maxHosts) {
            throw new ListTooLongException(maxHosts);
        }
        entries.add(read);
    }

    private void fault(String id, String what) {
        if (++faults <= FAULTS_LOGGED) {
            Node.log("discovery: entry '" + id + "': " + what);
        }
    }
}
