package io.hornbeamscale.gateway;

/**
 * Checks the field lines of a head or trailer up to the empty line, and reads the two fields that tell the length of a
 * body. Accepts what RFC 9112 allows a server to send, and the same length more than once. Folded lines are obsolete
 * and malformed here, as a proxy may treat them.
 */
final class FieldLinesCheck {
    private static final String LENGTH = "content-length";
    private static final String CODING = "transfer-encoding";
    private static final String CHUNKED = "chunked";

    private State state;
    private int position;
    private boolean isMaybeLength;
    private boolean isMaybeCoding;
    private long length;
    private long previousLength;
    private int codings;
    private boolean isValueEnded;

    FieldLinesCheck() {
        begin();
    }

    /** Begins the lines of another head or trailer. */
    void begin() {
        state = State.LINE;
        previousLength = -1;
        codings = 0;
    }

    /** Returns whether the body has a length in bytes. */
    boolean hasLength() {
        return previousLength >= 0;
    }

    /** Returns whether the body is sent in chunks. */
    boolean isChunked() {
        return codings > 0;
    }

    /**
     * Checks the next byte.
     *
     * @param b the byte, from 0 to 255
     * @return whether it ends the lines
     * @throws MalformedResponseException if a line is no field
     */
    boolean accept(int b) throws MalformedResponseException {
        switch (state) {
            case LINE -> beginLine(b);
            case NAME -> name(b);
            case VALUE -> value(b);
            case LINE_FEED -> {
                requireLineFeed(b);
                state = State.LINE;
            }
            default -> {
                requireLineFeed(b);
                return true;
            }
        }
        return false;
    }

    private void beginLine(int b) throws MalformedResponseException {
        if (b == '\r') {
            state = State.LAST_LINE_FEED;
            return;
        }
        position = 0;
        isMaybeLength = true;
        isMaybeCoding = true;
        state = State.NAME;
        name(b);
    }

    private void name(int b) throws MalformedResponseException {
        if (b == ':' && position > 0) {
            isMaybeLength &= position == LENGTH.length();
            isMaybeCoding &= position == CODING.length();
            beginValue();
            return;
        }
        if (!HttpBytes.isToken(b)) {
            throw new MalformedResponseException("the name of a field has the byte " + b);
        }
        int lower = HttpBytes.toLowerCase(b);
        isMaybeLength = isMaybeLength && position < LENGTH.length() && LENGTH.charAt(position) == lower;
        isMaybeCoding = isMaybeCoding && position < CODING.length() && CODING.charAt(position) == lower;
        position++;
    }

    private void beginValue() {
        state = State.VALUE;
        position = 0;
        length = 0;
        isValueEnded = false;
    }

    private void value(int b) throws MalformedResponseException {
        if (b == '\r') {
            endValue();
            state = State.LINE_FEED;
            return;
        }
        if (!HttpBytes.isText(b)) {
            throw new MalformedResponseException("the value of a field has the byte " + b);
        }
        if (!isMaybeLength && !isMaybeCoding) {
            return;
        }
        if (HttpBytes.isBlank(b)) {
            isValueEnded = position > 0;
            return;
        }
        if (isValueEnded || !(isMaybeLength ? isLengthByte(b) : isCodingByte(b))) {
            throw malformedLength();
        }
        position++;
    }

    private boolean isLengthByte(int b) {
        if (!HttpBytes.isDigit(b) || length > (Long.MAX_VALUE - (b - '0')) / 10) {
            return false;
        }
        length = length * 10 + (b - '0');
        return true;
    }

    private boolean isCodingByte(int b) {
        return position < CHUNKED.length() && CHUNKED.charAt(position) == HttpBytes.toLowerCase(b);
    }

    private void endValue() throws MalformedResponseException {
        if (isMaybeLength) {
            if (position == 0 || (hasLength() && length != previousLength)) {
                throw malformedLength();
            }
            previousLength = length;
        }
        if (isMaybeCoding) {
            codings++;
            if (position != CHUNKED.length() || codings > 1) {
                throw malformedLength();
            }
        }
        if (isChunked() && hasLength()) {
            throw malformedLength();
        }
    }

    private static MalformedResponseException malformedLength() {
        return new MalformedResponseException("the length of the body is malformed");
    }

    static void requireLineFeed(int b) throws MalformedResponseException {
        if (b != '\n') {
            throw new MalformedResponseException("a line feed is missing");
        }
    }

    private enum State {
        LINE,
        NAME,
        VALUE,
        LINE_FEED,
        LAST_LINE_FEED
    }
}
