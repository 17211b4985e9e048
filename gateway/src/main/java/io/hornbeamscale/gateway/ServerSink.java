package io.hornbeamscale.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import org.xnio.channels.StreamSourceChannel;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.ConduitWritableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSinkConduit;

/**
 * The sending side of the connection to a server: tells its {@link ServerChannel} when a write fails, since the error
 * of a socket is reported only once.
 */
final class ServerSink extends AbstractStreamSinkConduit<StreamSinkConduit> {
    private final ServerChannel channel;

    ServerSink(StreamSinkConduit next, ServerChannel channel) {
        super(next);
        this.channel = channel;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        try {
            return next.write(from);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        try {
            return next.write(from, offset, length);
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public int writeFinal(ByteBuffer from) throws IOException {
        return Conduits.writeFinalBasic(this, from);
    }

    @Override
    public long writeFinal(ByteBuffer[] from, int offset, int length) throws IOException {
        return Conduits.writeFinalBasic(this, from, offset, length);
    }

    @Override
    public long transferFrom(FileChannel source, long position, long count) throws IOException {
        return source.transferTo(position, count, new ConduitWritableByteChannel(this));
    }

    @Override
    public long transferFrom(StreamSourceChannel source, long count, ByteBuffer throughBuffer) throws IOException {
        return Conduits.transfer(source, count, throughBuffer, this);
    }

    @Override
    public boolean flush() throws IOException {
        try {
            return next.flush();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    @Override
    public void terminateWrites() throws IOException {
        try {
            next.terminateWrites();
        } catch (IOException e) {
            throw failed(e);
        }
    }

    private IOException failed(IOException e) {
        channel.writeFailed();
        return e;
    }
}
