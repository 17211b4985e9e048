package io.hornbeamscale.daemon.control;

import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.distribute.ConfigSnapshot;
import io.hornbeamscale.wire.message.ConfigDelta;
import io.hornbeamscale.wire.message.ConfigDigest;
import io.hornbeamscale.wire.message.ConfigWant;
import io.hornbeamscale.wire.message.ConfigWhole;
import io.hornbeamscale.wire.message.Message;
import java.util.HashSet;
import java.util.List;

/** Translates messages about document versions. */
final class ConfigMessages {
    private ConfigMessages() {}

    static Message of(ConfigMessage message) {
        if (message instanceof ConfigMessage.Digest m) {
            return new ConfigDigest(m.version(), m.revision(), m.isReplicated(), m.isStarted(), m.wantsReply());
        }
        if (message instanceof ConfigMessage.Want m) {
            return new ConfigWant(m.haveVersion());
        }
        if (message instanceof ConfigMessage.Delta m) {
            return new ConfigDelta(
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
        return new ConfigWhole(snapshot.version(), snapshot.revision(), snapshot.entities(), whole.isReplicated());
    }

    /** Returns the message of the core, null if the message is about something else. */
    static ConfigMessage read(Message message) {
        if (message instanceof ConfigDigest m) {
            return new ConfigMessage.Digest(m.version(), m.revision(), m.isReplicated(), m.isStarted(), m.wantsReply());
        }
        if (message instanceof ConfigWant m) {
            return new ConfigMessage.Want(m.haveVersion());
        }
        if (message instanceof ConfigDelta m) {
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
        if (message instanceof ConfigWhole m) {
            return new ConfigMessage.Whole(
                    new ConfigSnapshot(m.version(), m.revision(), m.entities()), m.isReplicated());
        }
        return null;
    }
}
