package marlford.gateway.wire;

import java.util.Map;
import java.util.TreeMap;

/**
 * The name=value pairs of one line. Every getter throws a {@link WireFormatException} that names the field if it is missing
 * or malformed.
 */
public final class Fields {
    private final Map<String, String> values = new TreeMap<>();

    /** Fields that were parsed elsewhere, under the same names. */
    public Fields(Map<String, String> values) {
        this.values.putAll(values);
    }

    /** Parses pairs that are separated by single spaces. */
    Fields(String text) {
        int start = 0;
        while (start < text.length()) {
            int space = text.indexOf(' ', start);
            int end = space < 0 ? text.length() : space;
            int equals = text.indexOf('=', start);
            if (equals <= start || equals >= end) {
                throw new WireFormatException("not a name=value pair: '" + text.substring(start, end) + "'");
            }
            values.put(text.substring(start, equals), text.substring(equals + 1, end));
            start = end + 1;
        }
    }

    /** The value of a required field, which may be empty. */
    private String required(String name) {
        String value = values.get(name);
        if (value == null) {
            throw new WireFormatException("missing field '" + name + "'");
        }
        return value;
    }

    /** Whether the field is present. */
    boolean has(String name) {
        return values.containsKey(name);
    }

    /** The text of a required field, which must not be empty. */
    String text(String name) {
        String value = required(name);
        if (value.isEmpty()) {
            throw new WireFormatException("empty field '" + name + "'");
        }
        return value;
    }

    /** The text of an optional field, or {@code absent}. */
    String text(String name, String absent) {
        return values.getOrDefault(name, absent);
    }

    /** The finite number in a required field. */
    double number(String name) {
        String value = required(name);
        try {
            double number = Double.parseDouble(value);
            if (Double.isFinite(number)) {
                return number;
            }
        } catch (NumberFormatException e) {
            // reported below, with the name of the field
        }
        throw new WireFormatException("expected a number in '" + name + "', found '" + value + "'");
    }

    /** The finite number in an optional field, or {@code absent}. */
    public double number(String name, double absent) {
        return has(name) ? number(name) : absent;
    }

    /** The whole number in a required field. */
    long longValue(String name) {
        String value = required(name);
        try {
            return Long.parseLong(value);
        } catch (NumberFormatException e) {
            throw new WireFormatException("expected a whole number in '" + name + "', found '" + value + "'");
        }
    }

    /** The whole number in an optional field, or {@code absent}. */
    long longValue(String name, long absent) {
        return has(name) ? longValue(name) : absent;
    }

    /** The whole number in a required field, which must fit an int. */
    int intValue(String name) {
        long value = longValue(name);
        if (value < Integer.MIN_VALUE || value > Integer.MAX_VALUE) {
            throw new WireFormatException("expected a 32-bit number in '" + name + "', found '" + value + "'");
        }
        return (int) value;
    }

    /** The whole number in an optional field, which must fit an int, or {@code absent}. */
    int intValue(String name, int absent) {
        return has(name) ? intValue(name) : absent;
    }

    /** The truth value in an optional field (1, true, 0 or false), or {@code absent}. */
    boolean flag(String name, boolean absent) {
        String value = values.get(name);
        if (value == null) {
            return absent;
        }
        return switch (value) {
            case "1", "true" -> true;
            case "0", "false" -> false;
            default -> throw new WireFormatException("expected 1, true, 0 or false in '" + name + "', found '" + value + "'");
        };
    }

    /** Numbers separated by commas; none if the field is absent, empty or {@code -}. */
    double[] numbers(String name) {
        String value = values.getOrDefault(name, "");
        if (value.isEmpty() || value.equals("-")) {
            return new double[0];
        }
        String[] parts = value.split(",", -1);
        double[] numbers = new double[parts.length];
        for (int i = 0; i < parts.length; i++) {
            try {
                numbers[i] = Double.parseDouble(parts[i]);
            } catch (NumberFormatException e) {
                throw new WireFormatException("expected numbers separated by commas in '" + name + "', found '" + value + "'");
            }
        }
        return numbers;
    }

    /** The bytes in a required field, as hex digits; {@code -} stands for none. */
    byte[] bytes(String name) {
        String value = text(name);
        if (value.equals("-")) {
            return new byte[0];
        }
        try {
            return java.util.HexFormat.of().parseHex(value);
        } catch (IllegalArgumentException e) {
            throw new WireFormatException("expected pairs of hex digits in '" + name + "', found '" + value + "'");
        }
    }
}
