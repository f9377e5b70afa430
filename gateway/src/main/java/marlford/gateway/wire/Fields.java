package marlford.gateway.wire;

import java.util.Map;
import java.util.TreeMap;

/** The name=value pairs of one line; names the field at fault when one is missing or malformed. */
public final class Fields {
    private final Map<String, String> values = new TreeMap<>();

    /** Fields that were read elsewhere, under the same names. */
    public Fields(Map<String, String> values) {
        this.values.putAll(values);
    }

    /** Reads pairs set apart by single spaces; {@code textField}, where not null, runs to the end of the line. */
    Fields(String text) {
        int at = 0;
        while (at < text.length()) {
            int space = text.indexOf(' ', at);
            int end = space < 0 ? text.length() : space;
            int equals = text.indexOf('=', at);
            if (equals <= at || equals >= end) {
                throw new WireFault("not a name=value pair: '" + text.substring(at, end) + "'");
            }
            values.put(text.substring(at, equals), text.substring(equals + 1, end));
            at = end + 1;
        }
    }

    private String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new WireFault("missing field '" + name + "'");
        }
        return value;
    }

    boolean has(String name) {
        return values.containsKey(name);
    }

    String text(String name) {
        String value = required(name);
        if (value.isEmpty()) {
            throw new WireFault("empty field '" + name + "'");
        }
        return value;
    }

    String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    double number(String name) {
        String value = required(name);
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below with the field's name
        }
        throw new WireFault("bad number in '" + name + "': '" + value + "'");
    }

    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    long whole(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireFault("bad whole number in '" + name + "': '" + value + "'");
        }
    }

    long whole(String name, long absent) {
        return has(name) ? whole(name) : absent;
    }

    /** A whole number that fits an int. */
    int count(String name) {
        long value = whole(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new WireFault("number out of range in '" + name + "': '" + value + "'");
        }
        return (int) value;
    }

    int count(String name, int absent) {
        return has(name) ? count(name) : absent;
    }

    boolean flag(String name, boolean absent) {
        String value = values.get(name);
        if (value == null) {
            return absent;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new WireFault("bad truth value in '" + name + "': '" + value + "'");
        };
    }

    /** Numbers set apart by commas; none where the field is absent or empty. */
    double[] row(String name) {
        String value = values.getOrDefault(name, "");
        if (value.isEmpty() || value.equals("-")) {
            return new double[0];
        }
        String[] parts = value.split(",", -1);
        double[] row = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            try {
                row[i] = Double.parseDouble(parts[i]);
            } catch (NumberFormatException e) {
                throw new WireFault("bad number in '" + name + "': '" + value + "'");
            }
        }
        return row;
    }

    byte[] bytes(String name) {
        String value = text(name);
        if (value.equals("-")) {
            return new byte[0];
        }
        try {
            return java.util.HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw new WireFault("bad bytes in '" + name + "': '" + value + "'");
        }
    }
}
