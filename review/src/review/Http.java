package review;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages. */
final class Http {
    private Http() {}

    /** Returns the next message with its whole body, or null if the connection ends before it. */
    static Message read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String line = line(in); !isEnd(line); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.writeBytes(exactly(in, size));
                line(in);
            }
            line(in);
        } else {
            body.writeBytes(exactly(in, Integer.parseInt(headers.getOrDefault("content-length", "0"))));
        }
        return new Message(first, headers, body.toByteArray());
    }

    static byte[] join(byte[] first, byte[] second) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.writeBytes(first);
        out.writeBytes(second);
        return out.toByteArray();
    }

    private static boolean isEnd(String line) throws IOException {
        if (line == null) {
            throw new EOFException("the connection ended within a head");
        }
        return line.isEmpty();
    }

    private static int chunkSize(InputStream in) throws IOException {
        String line = line(in);
        if (line == null) {
            throw new EOFException("the connection ended between two chunks");
        }
        return Integer.parseInt(line.trim(), 16);
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended after " + bytes.length + " of " + count + " bytes");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b >= 0; b = in.read()) {
            if (b == '\n') {
                return out.toString(StandardCharsets.ISO_8859_1).stripTrailing();
            }
            out.write(b);
        }
        return null;
    }

    /**
     * A request or a response.
     *
     * @param startLine the request line or the status line
     * @param headers the headers by their names in lower case
     * @param body the whole body
     */
    record Message(String startLine, Map<String, String> headers, byte[] body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(startLine.split(" ", 3)[1]);
        }
    }
}
