package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A backend server: one thread a connection, one request at a time on each. It registers itself in the store. */
final class Server implements AutoCloseable {
    private final String id;
    private final String service;
    private final Platform platform;
    private final Record record;
    private final Work work;
    private final ServerSocket socket;
    private final List<Socket> open = new ArrayList<>();

    Server(String id, String service, String ip, Platform platform, Record record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.platform = platform;
        this.record = record;
        this.work = work;
        socket = new ServerSocket(0, 200, InetAddress.getByName(ip));
        start(this::accept, "server-" + id);
    }

    /** Writes the registration into the store. */
    void register(String zone, String state, int sequence) {
        platform.put(
                "servers/" + id,
                "{\"service\":\"" + service + "\",\"address\":\""
                        + socket.getInetAddress().getHostAddress() + ":" + socket.getLocalPort() + "\",\"zone\":\""
                        + zone + "\",\"version\":\"v1\",\"slots\":24,\"state\":\"" + state
                        + "\",\"coldRemainingMs\":0,\"stage\":\"both\","
                        + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":" + sequence
                        + ",\"born\":1700000000000}");
    }

    @Override
    public synchronized void close() throws IOException {
        socket.close();
        for (Socket each : open) {
            each.close();
        }
    }

    /** Returns a complete answer with the server's signature. */
    static byte[] answer(Http.Message request, String id, int status, String extraHeaders, byte[] body) {
        String head = "HTTP/1.1 " + status + " X\r\nX-Hornbeamscale-Request-Id: "
                + request.header("x-hornbeamscale-request-id")
                + "\r\nX-Hornbeamscale-Server-Stamp: stamp." + id + "." + status + "\r\n" + extraHeaders
                + "Content-Length: " + body.length + "\r\n\r\n";
        return Http.join(head.getBytes(StandardCharsets.ISO_8859_1), body);
    }

    /** Returns the head of a stream of events. */
    static byte[] streamHead(Http.Message request, String id) {
        return ("HTTP/1.1 200 OK\r\nX-Hornbeamscale-Request-Id: " + request.header("x-hornbeamscale-request-id")
                        + "\r\nX-Hornbeamscale-Server-Stamp: stamp." + id
                        + ".200\r\nX-Hornbeamscale-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Returns one event of a stream as a chunk. */
    static byte[] event(int number) {
        String text = "id: " + number + "\ndata: piece " + number + "\n\n";
        return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] streamEnd() {
        return "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        while (!socket.isClosed()) {
            try {
                Socket connection = socket.accept();
                connection.setTcpNoDelay(true);
                synchronized (this) {
                    open.add(connection);
                }
                start(() -> serve(connection), "connection-" + id);
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket connection) {
        String running = "";
        try (connection) {
            BufferedInputStream in = new BufferedInputStream(connection.getInputStream());
            OutputStream out = connection.getOutputStream();
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                String name = request.header("x-hornbeamscale-request-id");
                String expected = request.header("x-hornbeamscale-expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    out.write(("HTTP/1.1 421 X\r\nX-Hornbeamscale-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.ISO_8859_1));
                    continue;
                }
                if (request.startLine().startsWith("GET /report")) {
                    byte[] body = "{\"stage\":\"both\",\"busy\":false,\"seq\":1,\"queued\":0,\"active\":0}".getBytes();
                    out.write(answer(request, id, 200, "Content-Type: application/json\r\n", body));
                    continue;
                }
                running = name;
                work.run(request, connection, out);
                running = "";
                if (connection.isClosed()) {
                    return;
                }
            }
        } catch (IOException e) {
            if (!running.isEmpty()) {
                record.line(id, "the connection ended while it worked on " + running + ": " + e.getMessage());
            }
        }
    }

    static void start(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    /** What the server does with a request. */
    interface Work {
        void run(Http.Message request, Socket connection, OutputStream out) throws IOException;
    }
}
