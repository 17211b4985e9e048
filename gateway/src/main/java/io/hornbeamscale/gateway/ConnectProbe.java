package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.Endpoint;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import java.io.IOException;
import java.net.URI;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;

/** Checks whether a server accepts connections, by opening and closing one. Runs on the I/O thread. */
final class ConnectProbe implements ClientCallback<ClientConnection> {
    private final BackendClient client;
    private final Endpoint to;
    private final long timeoutMillis;
    private final Consumer<Boolean> done;
    private XnioExecutor.Key timer;
    private boolean isEnded;

    ConnectProbe(BackendClient client, Endpoint to, long timeoutMillis, Consumer<Boolean> done) {
        this.client = client;
        this.to = to;
        this.timeoutMillis = timeoutMillis;
        this.done = done;
    }

    void begin() {
        timer = client.thread().executeAfter(() -> end(false), timeoutMillis, TimeUnit.MILLISECONDS);
        UndertowClient.getInstance()
                .connect(this, URI.create("http://" + to), client.thread(), client.buffers(), OptionMap.EMPTY);
    }

    @Override
    public void completed(ClientConnection connection) {
        IoUtils.safeClose(connection);
        end(true);
    }

    @Override
    public void failed(IOException e) {
        end(false);
    }

    private void end(boolean isOpen) {
        if (!isEnded) {
            isEnded = true;
            timer.remove();
            done.accept(isOpen);
        }
    }
}
