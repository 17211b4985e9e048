import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small blocking HTTP/1.1 server and client for the stand-ins. One thread per connection. */
final class Http {
    private Http() {}

    /** One message: a request or a response. */
    static final class Message {
        String first;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        String method() {
            return first.split(" ", -1)[0];
        }

        String target() {
            return first.split(" ", -1)[1];
        }

        String path() {
            return target().split("\\?", 2)[0];
        }

        int status() {
            return Integer.parseInt(first.split(" ", -1)[1]);
        }

        String header(String name) {
            return headers.get(name);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Handles one request; returns whether the connection is kept. */
        boolean handle(Message request, Connection connection) throws IOException;
    }

    /** The server's side of a connection. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void respond(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
            headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** A server on one loopback address. */
    static final class Server implements Closeable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> open = ConcurrentHashMap.newKeySet();

        Server(String ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 256);
            Thread t = new Thread(this::acceptAll, "accept");
            t.setDaemon(true);
            t.start();
        }

        String address() {
            return listener.getInetAddress().getHostAddress() + ":" + listener.getLocalPort();
        }

        /** Closes the listener and resets all open connections, as a process that ends does. */
        @Override
        public void close() throws IOException {
            listener.close();
            resetConnections();
        }

        void resetConnections() {
            for (Socket each : open) {
                try {
                    each.setSoLinger(true, 0);
                    each.close();
                } catch (IOException e) {
                    // It is closed already.
                }
            }
        }

        private void acceptAll() {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    open.add(socket);
                    Thread t = new Thread(() -> serve(socket), "serve");
                    t.setDaemon(true);
                    t.start();
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                Connection c = new Connection(socket);
                while (true) {
                    Message request = read(c.in, null);
                    if (request == null || !handler.handle(request, c)) {
                        return;
                    }
                }
            } catch (IOException e) {
                // The peer has gone.
            } finally {
                open.remove(socket);
            }
        }
    }

    /** Reads one message, null at the end of the stream. For a response, the method of its request is given. */
    static Message read(InputStream in, String requestMethod) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Message m = new Message();
        m.first = first;
        for (String each = line(in); each != null && !each.isEmpty(); each = line(in)) {
            int colon = each.indexOf(':');
            m.headers.put(each.substring(0, colon).trim(), each.substring(colon + 1).trim());
        }
        String length = m.header("Content-Length");
        String coding = m.header("Transfer-Encoding");
        if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(in);
                if (size == null) {
                    throw new EOFException("within chunks");
                }
                int n = Integer.parseInt(size.trim(), 16);
                body.write(in.readNBytes(n));
                line(in);
                if (n == 0) {
                    break;
                }
            }
            m.body = body.toByteArray();
        } else if (length != null) {
            int n = Integer.parseInt(length);
            m.body = in.readNBytes(n);
            if (m.body.length < n) {
                throw new EOFException("within a body");
            }
        } else if (requestMethod != null && m.status() != 204) {
            m.body = in.readAllBytes();
        }
        return m;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                if (text.size() == 0) {
                    return null;
                }
                throw new EOFException("within a line");
            }
            if (b != '\r') {
                text.write(b);
            }
        }
        return text.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request on a connection of its own; null if there was no complete answer. */
    static Message call(String address, String method, String target, Map<String, String> headers, byte[] body, int timeoutMs) {
        String[] parts = address.split(":", -1);
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(timeoutMs);
            send(socket.getOutputStream(), method, target, headers, body);
            return read(new BufferedInputStream(socket.getInputStream()), method);
        } catch (IOException e) {
            return null;
        }
    }

    static void send(OutputStream out, String method, String target, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + target + " HTTP/1.1\r\n");
        headers.forEach((k, v) -> head.append(k).append(": ").append(v).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) {
            head.append("Content-Length: ").append(body.length).append("\r\n");
        }
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }
}
