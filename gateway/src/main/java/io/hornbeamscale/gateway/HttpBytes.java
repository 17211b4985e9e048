package io.hornbeamscale.gateway;

/** Classes of bytes in the head of an HTTP message, as RFC 9110 defines them. */
final class HttpBytes {
    private static final int DELETE = 0x7f;
    private static final int MASK_BITS = 64;
    private static final long LOW_TOKENS = mask("!#$%&'*+-.0123456789", 0);
    private static final long HIGH_TOKENS =
            mask("ABCDEFGHIJKLMNOPQRSTUVWXYZ^_`abcdefghijklmnopqrstuvwxyz|~", MASK_BITS);

    private HttpBytes() {}

    /** Returns whether a byte may be part of the name of a field. */
    static boolean isToken(int b) {
        if (b < MASK_BITS) {
            return (LOW_TOKENS >>> b & 1) != 0;
        }
        return b < 2 * MASK_BITS && (HIGH_TOKENS >>> (b - MASK_BITS) & 1) != 0;
    }

    /** Returns whether a byte may be part of the value of a field, of a reason phrase or of a chunk extension. */
    static boolean isText(int b) {
        return b >= ' ' ? b != DELETE : b == '\t';
    }

    static boolean isBlank(int b) {
        return b == ' ' || b == '\t';
    }

    static boolean isDigit(int b) {
        return b >= '0' && b <= '9';
    }

    static int toLowerCase(int b) {
        return b >= 'A' && b <= 'Z' ? b + ('a' - 'A') : b;
    }

    private static long mask(String characters, int first) {
        long mask = 0;
        for (int i = 0; i < characters.length(); i++) {
            mask |= 1L << (characters.charAt(i) - first);
        }
        return mask;
    }
}
