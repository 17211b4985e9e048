package io.hornbeamscale.wire;

import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.wire.message.Message;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Optional;

/**
 * One TCP connection that carries length-prefixed frames. Sending is safe from several threads. A peer that does not
 * read fast enough is disconnected, since dropping individual frames would leave gaps in streams.
 */
public final class FrameConnection {
    private static final int HEADER_BYTES = 4;
    private static final int INITIAL_INPUT_BYTES = 64 * 1024;
    private static final int MAX_BATCH_FRAMES = 64;

    private final FrameLoop loop;
    private final SocketChannel channel;
    private final FrameListener listener;
    private final long maxQueuedBytes;
    private final ArrayDeque<ByteBuffer> queue = new ArrayDeque<>();
    private ByteBuffer input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);
    private SelectionKey key;
    private long queuedBytes;
    private boolean isOpen;
    private boolean isEnded;

    FrameConnection(FrameLoop loop, SocketChannel channel, FrameListener listener, long maxQueuedBytes) {
        this.loop = loop;
        this.channel = channel;
        this.listener = listener;
        this.maxQueuedBytes = maxQueuedBytes;
    }

    /**
     * Sends a message, now or once the peer has read earlier ones.
     *
     * @param message the message, not null
     * @return whether the message was accepted; false if the connection is closed or its queue is full
     */
    public boolean send(Message message) {
        byte[] bytes = MessageCodec.encode(message);
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + bytes.length);
        frame.putInt(bytes.length).put(bytes).flip();
        synchronized (this) {
            if (isEnded) {
                return false;
            }
            if (queuedBytes + frame.remaining() > maxQueuedBytes) {
                loop.execute(() -> end("the peer does not read: " + queuedBytes + " bytes are queued"));
                return false;
            }
            queue.add(frame);
            queuedBytes += frame.remaining();
            if (queue.size() == 1 && isOpen) {
                flush();
            }
            return true;
        }
    }

    /**
     * Closes the connection; queued frames are dropped.
     *
     * @param reason why the connection is closed, not null
     */
    public void close(String reason) {
        loop.execute(() -> end(reason));
    }

    /**
     * Returns the address of the peer.
     *
     * @return the address, null before the connection is established
     */
    public SocketAddress peer() {
        return channel.socket().getRemoteSocketAddress();
    }

    /**
     * Returns the number of bytes that wait to be sent.
     *
     * @return the number of bytes
     */
    public synchronized long queuedBytes() {
        return queuedBytes;
    }

    void established(SelectionKey newKey) {
        listener.opened(this);
        synchronized (this) {
            key = newKey;
            isOpen = true;
            flush();
        }
    }

    void writable() {
        synchronized (this) {
            flush();
        }
    }

    void readable() {
        try {
            int count = channel.read(input);
            if (count < 0) {
                end("the peer closed the connection");
                return;
            }
            loop.countReceived(count);
            input.flip();
            while (input.remaining() >= HEADER_BYTES) {
                int length = input.getInt(input.position());
                if (length <= 0 || length > MessageCodec.MAX_FRAME_BYTES) {
                    loop.countBadFrame();
                    end("bad_frame: length " + length + " is not from 1 to " + MessageCodec.MAX_FRAME_BYTES);
                    return;
                }
                if (input.remaining() < HEADER_BYTES + length) {
                    growTo(HEADER_BYTES + length);
                    return;
                }
                byte[] bytes = new byte[length];
                input.position(input.position() + HEADER_BYTES);
                input.get(bytes);
                Optional<Message> message = MessageCodec.decode(bytes);
                if (message.isPresent()) {
                    listener.received(this, message.get());
                } else {
                    loop.countUnknownType();
                }
            }
            compact();
        } catch (ServingException e) {
            loop.countBadFrame();
            end("bad_frame: " + e.getMessage());
        } catch (IOException e) {
            end("read failed: " + e.getMessage());
        }
    }

    void end(String reason) {
        synchronized (this) {
            if (isEnded) {
                return;
            }
            isEnded = true;
            isOpen = false;
            queue.clear();
            queuedBytes = 0;
        }
        loop.remove(this);
        try {
            channel.close();
        } catch (IOException e) {
            loop.logCloseFailure(e);
        }
        listener.closed(this, reason);
    }

    private void growTo(int size) {
        if (input.capacity() < size) {
            ByteBuffer larger = ByteBuffer.allocate(size);
            larger.put(input);
            input = larger;
        } else {
            input.compact();
        }
    }

    private void compact() {
        if (!input.hasRemaining() && input.capacity() > INITIAL_INPUT_BYTES) {
            input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);
        } else {
            input.compact();
        }
    }

    private void flush() {
        try {
            while (!queue.isEmpty()) {
                ByteBuffer[] batch = queue.stream().limit(MAX_BATCH_FRAMES).toArray(ByteBuffer[]::new);
                long written = channel.write(batch);
                queuedBytes -= written;
                loop.countSent(written);
                while (!queue.isEmpty() && !queue.peek().hasRemaining()) {
                    queue.poll();
                }
                if (written == 0) {
                    break;
                }
            }
            int wanted = queue.isEmpty() ? SelectionKey.OP_READ : SelectionKey.OP_READ | SelectionKey.OP_WRITE;
            if (key.isValid() && key.interestOps() != wanted) {
                key.interestOps(wanted);
                loop.wakeup();
            }
        } catch (IOException e) {
            loop.execute(() -> end("write failed: " + e.getMessage()));
        }
    }
}
