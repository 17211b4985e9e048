package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A caller's connection to an entry. */
final class Caller implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Socket socket = new Socket();
    private final BufferedInputStream in;
    private final OutputStream out;

    Caller(InetSocketAddress entry) throws IOException {
        socket.connect(entry, CONNECT_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a request. */
    void send(String method, String path, String id, long timeBudgetMillis, String extraHeaders, byte[] body)
            throws IOException {
        String head = method + " " + path + " HTTP/1.1\r\nHost: shop.example\r\nX-Hornbeamscale-Request-Id: " + id
                + "\r\nX-Hornbeamscale-Deadline-Ms: " + timeBudgetMillis + "\r\nX-Api-Key: good-key\r\n" + extraHeaders
                + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
        out.write(Http.join(head.getBytes(StandardCharsets.ISO_8859_1), body));
        out.flush();
    }

    /** Returns the next whole answer, or null if the connection ended before it began. */
    Http.Message receive(long timeoutMillis) throws IOException {
        socket.setSoTimeout((int) timeoutMillis);
        return Http.read(in);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
