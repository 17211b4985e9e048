package io.hornbeamscale.daemon.control;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.distribute.ConfigDelta;
import io.hornbeamscale.core.distribute.ConfigMessage;
import io.hornbeamscale.core.document.DocumentJson;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.wire.message.ConfigDigest;
import io.hornbeamscale.wire.message.ConfigWant;
import io.hornbeamscale.wire.message.ConfigWhole;
import io.hornbeamscale.wire.message.Message;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Translates the messages of the distributor to those of the wire and back. */
final class ConfigMessages {
    private static final Logger LOG = LogManager.getLogger("config");
    private static final String CHANGED = "c";
    private static final String REMOVED = "r";

    private ConfigMessages() {}

    static Message of(ConfigMessage message) {
        if (message instanceof ConfigMessage.Digest m) {
            return new ConfigDigest(m.version(), m.revision(), m.isStarting());
        }
        if (message instanceof ConfigMessage.Want m) {
            return new ConfigWant(m.haveVersion());
        }
        if (message instanceof ConfigMessage.Delta m) {
            return of(m.delta());
        }
        var snapshot = ((ConfigMessage.Whole) message).snapshot();
        return new ConfigWhole(snapshot.version(), snapshot.revision(), DocumentEntities.text(snapshot));
    }

    /** Returns the distributor's message, null if the message is another one or its content cannot be read. */
    static ConfigMessage of(Message message) {
        try {
            return read(message);
        } catch (ServingException | IllegalArgumentException e) {
            LOG.warn("A message about a document version cannot be read: {}.", e.getMessage());
            return null;
        }
    }

    private static ConfigMessage read(Message message) {
        if (message instanceof ConfigDigest m) {
            return new ConfigMessage.Digest(m.version(), m.revision(), m.isStarting());
        }
        if (message instanceof ConfigWant m) {
            return new ConfigMessage.Want(m.haveVersion());
        }
        if (message instanceof io.hornbeamscale.wire.message.ConfigDelta m) {
            return new ConfigMessage.Delta(delta(m));
        }
        if (message instanceof ConfigWhole m) {
            return new ConfigMessage.Whole(DocumentEntities.ofText(m.document(), m.version(), m.revision()));
        }
        return null;
    }

    private static Message of(ConfigDelta delta) {
        ObjectNode changes = DocumentJson.mapper().createObjectNode();
        ObjectNode changed = changes.putObject(CHANGED);
        delta.changed().forEach(changed::put);
        ArrayNode removed = changes.putArray(REMOVED);
        delta.removed().forEach(removed::add);
        return new io.hornbeamscale.wire.message.ConfigDelta(
                delta.fromVersion(),
                delta.toVersion(),
                delta.toRevision(),
                DocumentJson.write(changes),
                delta.checksum());
    }

    private static ConfigDelta delta(io.hornbeamscale.wire.message.ConfigDelta m) {
        JsonNode changes = DocumentJson.parse(m.changes());
        Map<String, String> changed = new HashMap<>();
        changes.path(CHANGED)
                .properties()
                .forEach(field -> changed.put(field.getKey(), field.getValue().asText()));
        Set<String> removed = new HashSet<>();
        changes.path(REMOVED).forEach(name -> removed.add(name.asText()));
        return new ConfigDelta(m.fromVersion(), m.version(), m.revision(), changed, removed, m.checksum());
    }
}
