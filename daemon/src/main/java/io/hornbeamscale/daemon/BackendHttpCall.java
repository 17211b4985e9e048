package io.hornbeamscale.daemon;

import io.hornbeamscale.gateway.ConnectionAbort;
import io.hornbeamscale.gateway.MalformedResponseException;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.RejectedExecutionException;
import org.xnio.IoUtils;

/** A call of a {@link BackendHttpClient}. Its listener is notified of exactly one end, unless the call is closed. */
final class BackendHttpCall {
    private final BackendHttpClient.Listener listener;
    private final boolean mayReuse;
    private ClientConnection connection;
    private boolean isClosed;

    BackendHttpCall(BackendHttpClient.Listener listener, boolean mayReuse) {
        this.listener = listener;
        this.mayReuse = mayReuse;
    }

    /** Returns whether the connection may be used for another call after the response. */
    boolean mayReuse() {
        return mayReuse;
    }

    /** Aborts the call and closes its connection; the listener is not notified any more. */
    void close() {
        synchronized (this) {
            if (isClosed) {
                return;
            }
            isClosed = true;
        }
        abortConnection();
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    /** Assigns the connection of the call; closes it and returns false if the call was closed before. */
    boolean connected(ClientConnection established) {
        synchronized (this) {
            if (!isClosed) {
                connection = established;
                return true;
            }
        }
        IoUtils.safeClose(established);
        return false;
    }

    void head(ClientResponse response) {
        if (isClosed()) {
            return;
        }
        Map<String, String> headers = new LinkedHashMap<>();
        for (HeaderValues values : response.getResponseHeaders()) {
            headers.put(values.getHeaderName().toString().toLowerCase(Locale.ROOT), String.join(", ", values));
        }
        listener.head(response.getResponseCode(), headers);
    }

    void body(ByteBuffer bytes) {
        if (!isClosed() && !listener.body(bytes)) {
            failed(new MalformedResponseException("the response is malformed or exceeds its limit"));
        }
    }

    void complete() {
        if (end()) {
            listener.complete();
        }
    }

    void notConnected(IOException e) {
        if (end()) {
            listener.notConnected(e);
        }
    }

    void failed(IOException e) {
        if (end()) {
            abortConnection();
            listener.failed(e);
        }
    }

    private void abortConnection() {
        ClientConnection current;
        synchronized (this) {
            current = connection;
        }
        if (current == null) {
            return;
        }
        try {
            current.getIoThread().execute(() -> ConnectionAbort.abort(current));
        } catch (RejectedExecutionException e) {
            // The process is shutting down.
            IoUtils.safeClose(current);
        }
    }

    private synchronized boolean end() {
        if (isClosed) {
            return false;
        }
        isClosed = true;
        return true;
    }
}
