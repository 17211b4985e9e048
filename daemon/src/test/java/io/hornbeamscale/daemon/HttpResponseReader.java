package io.hornbeamscale.daemon;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.Locale;

/**
 * A complete HTTP response that a test's caller has read.
 *
 * @param status the HTTP status
 * @param isKeptOpen whether the connection takes further requests
 */
record HttpResponseReader(int status, boolean isKeptOpen) {
    /** Reads a response with a length or in chunks; throws an exception if it ends early. */
    static HttpResponseReader read(InputStream in) throws IOException {
        String line = line(in);
        int status = Integer.parseInt(line.split(" ", -1)[1]);
        boolean isKeptOpen = true;
        long length = -1;
        while (!line.isEmpty()) {
            String lower = line.toLowerCase(Locale.ROOT);
            isKeptOpen &= !lower.equals("connection: close");
            if (lower.startsWith("content-length:")) {
                length = Long.parseLong(
                        lower.substring("content-length:".length()).trim());
            }
            line = line(in);
        }
        if (length >= 0) {
            skip(in, length);
            return new HttpResponseReader(status, isKeptOpen);
        }
        long chunk;
        do {
            chunk = Long.parseLong(line(in), 16);
            skip(in, chunk);
            line(in);
        } while (chunk > 0);
        return new HttpResponseReader(status, isKeptOpen);
    }

    private static void skip(InputStream in, long bytes) throws IOException {
        if (in.readNBytes((int) bytes).length < bytes) {
            throw new IOException("the response ended within its body");
        }
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new IOException("the connection was closed");
            }
            line.write(b);
        }
        return line.toString(ISO_8859_1).trim();
    }
}
