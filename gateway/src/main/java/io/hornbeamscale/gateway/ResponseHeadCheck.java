package io.hornbeamscale.gateway;

/** Checks the heads of responses byte by byte, also what the HTTP client accepts or skips without an error. */
final class ResponseHeadCheck {
    private static final String VERSION = "HTTP/1.";

    /** The positions in the status line, such as {@code HTTP/1.1 200 OK}. */
    private static final int MINOR_VERSION = VERSION.length();

    private static final int STATUS = MINOR_VERSION + 2;
    private static final int REASON = STATUS + 4;
    private static final int INTERIM_LIMIT = 200;

    private final FieldLinesCheck fields = new FieldLinesCheck();
    private State state;
    private int position;
    private int minorVersion;
    private int status;

    ResponseHeadCheck() {
        begin();
    }

    /** Begins another head. */
    void begin() {
        state = State.STATUS_LINE;
        position = 0;
        status = 0;
        fields.begin();
    }

    /** Returns whether another head follows for the same request. */
    boolean isInterim() {
        return status < INTERIM_LIMIT;
    }

    /** Returns whether the body is sent in chunks. */
    boolean isChunked() {
        return fields.isChunked();
    }

    /**
     * Checks the next byte.
     *
     * @param b the byte, from 0 to 255
     * @return whether it ends the head
     * @throws MalformedResponseException if the head is malformed
     */
    boolean accept(int b) throws MalformedResponseException {
        switch (state) {
            case STATUS_LINE -> statusLine(b);
            case LINE_FEED -> {
                FieldLinesCheck.requireLineFeed(b);
                state = State.FIELDS;
            }
            default -> {
                return fields.accept(b) && isFramingKnown();
            }
        }
        return false;
    }

    private void statusLine(int b) throws MalformedResponseException {
        if (position >= REASON && b == '\r') {
            state = State.LINE_FEED;
            return;
        }
        if (!isStatusLineByte(b)) {
            throw new MalformedResponseException("the status line has the byte " + b + " at " + position);
        }
        position = Math.min(position + 1, REASON);
    }

    private boolean isStatusLineByte(int b) {
        if (position >= REASON) {
            return HttpBytes.isText(b);
        }
        if (position < MINOR_VERSION) {
            return b == VERSION.charAt(position);
        }
        if (position == MINOR_VERSION) {
            minorVersion = b - '0';
            return b == '0' || b == '1';
        }
        if (position < STATUS || position == REASON - 1) {
            return b == ' ';
        }
        status = status * 10 + (b - '0');
        return HttpBytes.isDigit(b) && status > 0;
    }

    private boolean isFramingKnown() throws MalformedResponseException {
        if (isChunked() && minorVersion == 0) {
            throw new MalformedResponseException("HTTP/1.0 has no chunks");
        }
        return true;
    }

    private enum State {
        STATUS_LINE,
        LINE_FEED,
        FIELDS
    }
}
