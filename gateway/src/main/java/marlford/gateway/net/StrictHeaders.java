package marlford.gateway.net;

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
 */
final class StrictHeaders extends DefaultHttpHeaders {
    private static final int MAX_LENGTH_DIGITS = 10; // of a Content-Length; far more than any accepted message needs

    private final List<AsciiString> singleValued;

    private StrictHeaders(DefaultHttpHeadersFactory values, List<AsciiString> singleValued) {
        super(DefaultHttpHeadersFactory.headersFactory().getNameValidator(), values.getValueValidator());
        this.singleValued = singleValued;
    }

    /** Returns headers for requests: those given may appear only once, and values with forbidden characters are rejected. */
    static HttpHeadersFactory ofRequests(List<AsciiString> singleValued) {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(true), singleValued);
    }

    /** Returns headers for answers: values are not validated, because some, such as load reports, serve the gateway only. */
    static HttpHeadersFactory ofAnswers() {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(false), List.of());
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory values, List<AsciiString> singleValued) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new StrictHeaders(values, singleValued);
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
        } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            require(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value.toString()) && !hasBodyLength(), name);
        } else {
            for (AsciiString header : singleValued) {
                require(!header.contentEqualsIgnoreCase(name) || !contains(header), name);
            }
        }
        return super.add(name, value);
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
