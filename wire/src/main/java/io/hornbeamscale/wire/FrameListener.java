package io.hornbeamscale.wire;

import io.hornbeamscale.wire.message.Message;

/** Receives the events of a connection. All methods run on the thread of the frame loop and must not block. */
public interface FrameListener {
    /**
     * Handles an established connection.
     *
     * @param connection the connection
     */
    void opened(FrameConnection connection);

    /**
     * Handles a message.
     *
     * @param connection the connection that carried the message
     * @param message the message
     */
    void received(FrameConnection connection, Message message);

    /**
     * Handles the end of a connection, or an attempt to connect that failed. Called once.
     *
     * @param connection the connection
     * @param reason why the connection ended
     */
    void closed(FrameConnection connection, String reason);
}
