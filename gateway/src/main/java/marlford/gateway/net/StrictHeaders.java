package marlford.gateway.net;

import io.netty.handler.codec.DefaultHeaders.NameValidator;
import io.netty.handler.codec.DefaultHeaders.ValueValidator;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Headers of a message that is being decoded. A header that leaves the end of the message or the choice between two values
 * ambiguous makes the message unreadable. The decoder would otherwise choose one value and drop the other, and a receiver
 * that chooses differently would find a second message inside the first (request smuggling).
 *
 * <p>Only headers that the gateway uses are kept. The others are validated and dropped, so that the memory of a message follows from its
 * few known headers and not from the number of fields that its sender chooses.
 */
final class StrictHeaders extends DefaultHttpHeaders {
    private static final int MAX_LENGTH_DIGITS = 10; // of a Content-Length; far more than any accepted message needs

    private static final NameValidator<CharSequence> NAME_VALIDATOR = DefaultHttpHeadersFactory.headersFactory().getNameValidator();
    private static final List<AsciiString> CONNECTION_OPTIONS = List.of(HttpHeaderValues.CLOSE, HttpHeaderValues.KEEP_ALIVE);

    private final ValueValidator<CharSequence> valueValidator;
    private final List<AsciiString> singleValued;
    private final List<AsciiString> firstValued;

    private StrictHeaders(DefaultHttpHeadersFactory values, List<AsciiString> singleValued, List<AsciiString> firstValued) {
        super(NAME_VALIDATOR, values.getValueValidator());
        this.valueValidator = values.getValueValidator();
        this.singleValued = singleValued;
        this.firstValued = firstValued;
    }

    /**
     * Returns headers for requests, whose values are validated. Beside the headers that determine the end of the message and of the
     * connection, the given ones are kept.
     *
     * @param singleValued headers that may appear only once
     * @param firstValued headers of which the first value is kept
     */
    static HttpHeadersFactory ofRequests(List<AsciiString> singleValued, List<AsciiString> firstValued) {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(true), singleValued, firstValued);
    }

    /**
     * Returns headers for answers: values are not validated, because some, such as load reports, serve the gateway only.
     *
     * @param firstValued headers of which the first value is kept
     */
    static HttpHeadersFactory ofAnswers(List<AsciiString> firstValued) {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(false), List.of(), firstValued);
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory values, List<AsciiString> singleValued,
            List<AsciiString> firstValued) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new StrictHeaders(values, singleValued, firstValued);
            }

            @Override
            public HttpHeaders newEmptyHeaders() {
                return newHeaders();
            }
        };
    }

    @Override
    public HttpHeaders add(CharSequence name, Object value) {
        if (HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(name)) {
            require(isLength(value.toString()) && !hasBodyLength(), name);
            return super.add(name, value);
        }
        if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            require(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value.toString()) && !hasBodyLength(), name);
            return super.add(name, value);
        }
        AsciiString single = find(singleValued, name);
        if (single != null) {
            require(!contains(single), name);
            return super.add(single, value);
        }
        validate(name, value);
        AsciiString first = find(firstValued, name);
        if (first != null && !contains(first)) {
            return super.add(first, value);
        }
        if (HttpHeaderNames.CONNECTION.contentEqualsIgnoreCase(name)) {
            addConnectionOptions(value.toString());
        }
        return this;
    }

    private static AsciiString find(List<AsciiString> names, CharSequence name) {
        for (AsciiString known : names) {
            if (known.contentEqualsIgnoreCase(name)) {
                return known;
            }
        }
        return null;
    }

    private void validate(CharSequence name, Object value) {
        NAME_VALIDATOR.validateName(name);
        valueValidator.validate(value.toString());
    }

    /** Adds those options of a Connection header that decide whether the connection is kept, once each. */
    private void addConnectionOptions(String value) {
        for (String option : value.split(",")) {
            AsciiString known = find(CONNECTION_OPTIONS, option.trim());
            if (known != null && !containsValue(HttpHeaderNames.CONNECTION, known, true)) {
                super.add(HttpHeaderNames.CONNECTION, known);
            }
        }
    }

    /** Whether a header already determines the end of the message. */
    private boolean hasBodyLength() {
        return contains(HttpHeaderNames.CONTENT_LENGTH) || contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static void require(boolean valid, CharSequence name) {
        if (!valid) {
            throw new IllegalArgumentException("expected one unambiguous value, found a repeated, conflicting or malformed header " + name);
        }
    }

    /** Whether the text consists of digits without a leading zero; receivers interpret other forms differently. */
    private static boolean isLength(String text) {
        return !text.isEmpty() && text.length() <= MAX_LENGTH_DIGITS && RequestParser.isWithin(text, '0', '9')
                && (text.length() == 1 || text.charAt(0) != '0');
    }
}
