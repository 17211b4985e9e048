package io.hornbeamscale.daemon;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderValues;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.xnio.IoUtils;

/** One call of an {@link HttpCaller}. Its listener hears of exactly one end. */
final class HttpCall {
    private final HttpCaller.Listener listener;
    private ClientConnection connection;
    private boolean isClosed;

    HttpCall(HttpCaller.Listener listener) {
        this.listener = listener;
    }

    /** Gives the call up; the listener hears nothing more. */
    void close() {
        ClientConnection used;
        synchronized (this) {
            isClosed = true;
            used = connection;
        }
        IoUtils.safeClose(used);
    }

    synchronized boolean isClosed() {
        return isClosed;
    }

    boolean connected(ClientConnection used) {
        synchronized (this) {
            if (!isClosed) {
                connection = used;
                return true;
            }
        }
        IoUtils.safeClose(used);
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
        if (!isClosed()) {
            listener.body(bytes);
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

    void broken(IOException e) {
        ClientConnection used;
        synchronized (this) {
            used = connection;
        }
        IoUtils.safeClose(used);
        if (end()) {
            listener.broken(e);
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
