package io.hornbeamscale.gateway;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelListener;
import org.xnio.ChannelListeners;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.channels.BoundChannel;

/**
 * Opens the connections of the HTTP client on an I/O thread and puts a {@link ServerChannel} below the client's parser,
 * which offers no way to do so. It is never started as a thread.
 */
public final class ServerConnector extends XnioIoThread {
    private final XnioIoThread thread;
    private ServerChannel opened;

    /**
     * Creates a connector.
     *
     * @param thread the I/O thread of its connections, not null
     */
    public ServerConnector(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /**
     * Returns the channel of the connection that is being handed to the client.
     *
     * @return the channel, valid during that call only
     */
    public ServerChannel opened() {
        return opened;
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress to, ChannelListener<? super StreamConnection> open, OptionMap options) {
        return thread.openStreamConnection(to, bounded(open), options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress to,
            ChannelListener<? super StreamConnection> open,
            ChannelListener<? super BoundChannel> bind,
            OptionMap options) {
        return thread.openStreamConnection(to, bounded(open), bind, options);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress from,
            SocketAddress to,
            ChannelListener<? super StreamConnection> open,
            ChannelListener<? super BoundChannel> bind,
            OptionMap options) {
        return thread.openStreamConnection(from, to, bounded(open), bind, options);
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }

    private ChannelListener<StreamConnection> bounded(ChannelListener<? super StreamConnection> open) {
        return connection -> {
            opened = new ServerChannel(connection.getSourceChannel().getConduit());
            connection.getSourceChannel().setConduit(opened);
            connection
                    .getSinkChannel()
                    .setConduit(new ServerSink(connection.getSinkChannel().getConduit(), opened));
            ChannelListeners.invokeChannelListener(connection, open);
            opened = null;
        };
    }
}
