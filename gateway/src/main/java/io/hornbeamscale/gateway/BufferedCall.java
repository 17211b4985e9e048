package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.hornbeamscale.core.limit.TransferDeadline;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** Sends a call with a time limit and reads its response into memory. Runs on the I/O thread. */
public final class BufferedCall {
    /** The status of a call without a complete response. */
    public static final int NO_RESPONSE = 0;

    /** The status of a response that began, and that was too large or did not end in time. */
    public static final int INCOMPLETE = -1;

    private static final long CONNECT_TIMEOUT_MILLIS = 400;

    /** How long a response of the store may make no progress once it has begun, in milliseconds. */
    private static final long STALL_MILLIS = 700;

    /**
     * How long a response of the store may take from its first bytes on, in milliseconds. A value of the maximum
     * size, 1.4 MB after its encoding, takes 1.6 s at 7 Mbit/s.
     */
    private static final long TRANSFER_MILLIS = 4_000;

    /** The maximum size of a response of the store, in bytes; a page has about a megabyte before its encoding. */
    public static final int MAX_STORE_RESPONSE_BYTES = 4_000_000;

    /** The maximum size of a response of a server to the system's own calls, in bytes; usual are a few hundred. */
    public static final int MAX_SERVER_RESPONSE_BYTES = 64 * 1024;

    private BufferedCall() {}

    /**
     * Sends a call.
     *
     * @param client sends it, not null
     * @param thread the I/O thread, not null
     * @param to the address of the server, not null
     * @param method the HTTP method, not null
     * @param path the path with its query, not null
     * @param body the body as JSON, empty for none, not null
     * @param reuse which connections the call may share, not null
     * @param timeoutMillis the time limit for the complete response, in milliseconds
     * @param maxResponseBytes the number of bytes from which on the response is refused
     * @param callback is called once at the end, not null
     * @return the exchange, never null; if it is cancelled, the callback is not called
     */
    public static BackendExchange send(
            BackendClient client,
            XnioIoThread thread,
            Endpoint to,
            String method,
            String path,
            byte[] body,
            BackendClient.Reuse reuse,
            long timeoutMillis,
            int maxResponseBytes,
            Callback callback) {
        ResponseReader reader = new ResponseReader(
                callback, maxResponseBytes, new TransferDeadline(ControlLoop.now(), timeoutMillis, 0, 0), false);
        return send(client, thread, to, method, path, body, reuse, reader);
    }

    /**
     * Sends a call to the store, whose response may be large and arrive over a narrow link. The time limit applies to
     * the first bytes of the body; after that, the response may take longer as long as it makes progress.
     *
     * @param client sends it, not null
     * @param thread the I/O thread, not null
     * @param to the address of the store, not null
     * @param method the HTTP method, not null
     * @param path the path with its query, not null
     * @param body the body as JSON, empty for none, not null
     * @param timeoutMillis the time limit for the first bytes of the response, in milliseconds
     * @param maxResponseBytes the number of bytes from which on the response is refused
     * @param callback is called once at the end, with {@link #INCOMPLETE} if only a part arrived, not null
     * @return the exchange, never null; if it is cancelled, the callback is not called
     */
    public static BackendExchange sendToStore(
            BackendClient client,
            XnioIoThread thread,
            Endpoint to,
            String method,
            String path,
            byte[] body,
            long timeoutMillis,
            int maxResponseBytes,
            Callback callback) {
        TransferDeadline deadline =
                new TransferDeadline(ControlLoop.now(), timeoutMillis, STALL_MILLIS, TRANSFER_MILLIS);
        ResponseReader reader = new ResponseReader(callback, maxResponseBytes, deadline, true);
        return send(client, thread, to, method, path, body, BackendClient.Reuse.ANY, reader);
    }

    private static BackendExchange send(
            BackendClient client,
            XnioIoThread thread,
            Endpoint to,
            String method,
            String path,
            byte[] body,
            BackendClient.Reuse reuse,
            ResponseReader reader) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, to.toString());
        if (body.length > 0) {
            headers.put(Headers.CONTENT_TYPE, "application/json");
        }
        boolean hasLength = !method.equals("GET") && !method.equals("DELETE");
        BackendClient.Request request = new BackendClient.Request(
                method,
                path,
                headers,
                ByteBuffer.wrap(body),
                hasLength,
                Optional.empty(),
                reuse,
                CONNECT_TIMEOUT_MILLIS);
        BackendExchange exchange = client.send(to, request, reader, ControlLoop.now());
        reader.startTimeout(thread, exchange);
        return exchange;
    }

    /** Receives the result of a call. */
    public interface Callback {
        /**
         * Handles the end of the call.
         *
         * @param status the status code, {@link #NO_RESPONSE} if there is no response, {@link #INCOMPLETE} if only a
         *     part of a response of the store arrived
         * @param headers the headers, empty if there is no response, never null
         * @param body the body, never null
         */
        void ended(int status, HeaderMap headers, byte[] body);
    }

    private static final class ResponseReader implements BackendExchange.Listener {
        private final Callback callback;
        private final ResponseBody body;
        private final TransferDeadline deadline;
        private final int maxBytes;
        private final boolean isTransfer;
        private BackendExchange exchange;
        private XnioExecutor.Key timer;
        private int status;
        private HeaderMap headers = new HeaderMap();
        private boolean isEnded;

        ResponseReader(Callback callback, int maxResponseBytes, TransferDeadline deadline, boolean isTransfer) {
            this.callback = callback;
            this.body = new ResponseBody(maxResponseBytes);
            this.maxBytes = maxResponseBytes;
            this.deadline = deadline;
            this.isTransfer = isTransfer;
        }

        void startTimeout(XnioIoThread thread, BackendExchange exchange) {
            if (isEnded) {
                return;
            }
            this.exchange = exchange;
            checkTime(thread);
        }

        private void checkTime(XnioIoThread thread) {
            long left = deadline.leftMillis(ControlLoop.now());
            if (left == 0) {
                exchange.cancel();
                end(partialStatus());
                return;
            }
            timer = thread.executeAfter(() -> checkTime(thread), left, TimeUnit.MILLISECONDS);
        }

        private int partialStatus() {
            return isTransfer && status == StatusCodes.OK && body.size() > 0 ? INCOMPLETE : NO_RESPONSE;
        }

        private void refuse() {
            if (exchange != null) {
                exchange.cancel();
            }
            end(isTransfer && status == StatusCodes.OK ? INCOMPLETE : NO_RESPONSE);
        }

        @Override
        public void responded(int code, HeaderMap fields) {
            status = code;
            headers = fields;
            // The bytes of a response that is too large are not awaited, since they take long over a narrow link.
            if (contentLength(fields) > maxBytes) {
                refuse();
            }
        }

        private static long contentLength(HeaderMap fields) {
            String text = fields.getFirst(Headers.CONTENT_LENGTH);
            try {
                return text == null ? 0 : Long.parseLong(text.trim());
            } catch (NumberFormatException e) {
                return 0;
            }
        }

        @Override
        public void received(ByteBuffer bytes) {
            if (!body.add(bytes)) {
                refuse();
                return;
            }
            if (isTransfer) {
                deadline.received(ControlLoop.now());
            }
        }

        @Override
        public void completed() {
            end(status);
        }

        @Override
        public void failed(BackendExchange.Failure failure, String reason) {
            end(partialStatus());
        }

        private void end(int code) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            if (timer != null) {
                timer.remove();
            }
            if (code == INCOMPLETE) {
                body.discard();
            }
            byte[] bytes = body.toByteArray();
            body.discard();
            callback.ended(code, headers, bytes);
        }
    }
}
