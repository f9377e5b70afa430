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
 * Header lines of a message as they are read. A line that leaves open where the message ends, or which of two values
 * holds, makes the message unreadable: the decoder would otherwise choose one and drop the other, and a receiver that
 * chooses differently finds a second message inside the first.
 */
final class StrictHeaders extends DefaultHttpHeaders {
    private static final int LENGTH_DIGITS = 10; // of a length; far more than any message here may have

    private final List<AsciiString> single;

    private StrictHeaders(DefaultHttpHeadersFactory values, List<AsciiString> single) {
        super(DefaultHttpHeadersFactory.headersFactory().getNameValidator(), values.getValueValidator());
        this.single = single;
    }

    /** Of requests: each of these headers may stand once, and what no header may hold is not let in. */
    static HttpHeadersFactory ofRequests(List<AsciiString> single) {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(true), single);
    }

    /** Of answers: a line that serves only its reader, such as a load report, may hold what it likes. */
    static HttpHeadersFactory ofAnswers() {
        return factory(DefaultHttpHeadersFactory.headersFactory().withValidation(false), List.of());
    }

    private static HttpHeadersFactory factory(DefaultHttpHeadersFactory values, List<AsciiString> single) {
        return new HttpHeadersFactory() {
            @Override
            public HttpHeaders newHeaders() {
                return new StrictHeaders(values, single);
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
            check(isLength(value.toString()) && !bounded(), name);
        } else if (HttpHeaderNames.TRANSFER_ENCODING.contentEqualsIgnoreCase(name)) {
            check(HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(value.toString()) && !bounded(), name);
        } else {
            for (AsciiString known : single) {
                check(!known.contentEqualsIgnoreCase(name) || !contains(known), name);
            }
        }
        return super.add(name, value);
    }

    private boolean bounded() {
        return contains(HttpHeaderNames.CONTENT_LENGTH) || contains(HttpHeaderNames.TRANSFER_ENCODING);
    }

    private static void check(boolean right, CharSequence name) {
        if (!right) {
            throw new IllegalArgumentException("ambiguous or malformed " + name);
        }
    }

    /** Digits alone, and no nought ahead of them: not all receivers read the rest alike. */
    private static boolean isLength(String text) {
        return !text.isEmpty() && text.length() <= LENGTH_DIGITS && RequestParser.isWithin(text, '0', '9')
                && (text.length() == 1 || text.charAt(0) != '0');
    }
}
