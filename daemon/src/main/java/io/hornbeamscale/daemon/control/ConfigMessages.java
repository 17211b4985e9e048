package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.wire.message.ConfigDeltaMessage;
import io.hornbeamscale.wire.message.ConfigDigestMessage;
import io.hornbeamscale.wire.message.ConfigRequestMessage;
import io.hornbeamscale.wire.message.ConfigSnapshotMessage;
import io.hornbeamscale.wire.message.Message;
import java.util.HashSet;
import java.util.List;

/** Converts messages about document versions between the core and the wire. */
final class ConfigMessages {
    private ConfigMessages() {}

    static Message of(ConfigMessage message) {
        if (message instanceof ConfigMessage.Digest m) {
            return new ConfigDigestMessage(m.version(), m.revision(), m.isReplicated(), m.isStarted(), m.wantsReply());
        }
        if (message instanceof ConfigMessage.Want m) {
            return new ConfigRequestMessage(m.haveVersion());
        }
        if (message instanceof ConfigMessage.Delta m) {
            return new ConfigDeltaMessage(
                    m.delta().fromVersion(),
                    m.delta().toVersion(),
                    m.delta().toRevision(),
                    m.delta().changed(),
                    List.copyOf(m.delta().removed()),
                    m.delta().checksum(),
                    m.isReplicated());
        }
        ConfigMessage.Whole whole = (ConfigMessage.Whole) message;
        ConfigSnapshot snapshot = whole.snapshot();
        return new ConfigSnapshotMessage(
                snapshot.version(), snapshot.revision(), snapshot.entities(), whole.isReplicated());
    }

    /** Returns the message of the core, null if the message is not about document versions. */
    static ConfigMessage read(Message message) {
        if (message instanceof ConfigDigestMessage m) {
            return new ConfigMessage.Digest(m.version(), m.revision(), m.isReplicated(), m.isStarted(), m.wantsReply());
        }
        if (message instanceof ConfigRequestMessage m) {
            return new ConfigMessage.Want(m.haveVersion());
        }
        if (message instanceof ConfigDeltaMessage m) {
            return new ConfigMessage.Delta(
                    new io.hornbeamscale.core.distribute.ConfigSnapshotDelta(
                            m.fromVersion(),
                            m.version(),
                            m.revision(),
                            m.changed(),
                            new HashSet<>(m.removed()),
                            m.checksum()),
                    m.isReplicated());
        }
        if (message instanceof ConfigSnapshotMessage m) {
            return new ConfigMessage.Whole(
                    new ConfigSnapshot(m.version(), m.revision(), m.entities()), m.isReplicated());
        }
        return null;
    }
}
