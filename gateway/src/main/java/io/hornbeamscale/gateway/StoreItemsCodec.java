package io.hornbeamscale.gateway;

import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.wire.message.StoreItemsMessage;
import java.nio.ByteBuffer;
import java.util.List;

/** Converts items of the store to and from messages between entries. */
final class StoreItemsCodec {
    private StoreItemsCodec() {}

    /** Returns the message with a batch that contains all changes after a revision. */
    static StoreItemsMessage encode(StoreRevision after, StoreFollower.ChangeBatch batch) {
        List<StoreItemsMessage.Item> items = batch.items().stream()
                .map(i -> new StoreItemsMessage.Item(
                        i.key(),
                        i.revision().era(),
                        i.revision().revision(),
                        i.isRemoved() ? null : ByteBuffer.wrap(i.value())))
                .toList();
        StoreRevision revision = batch.revision();
        return new StoreItemsMessage(after.era(), after.revision(), revision.era(), revision.revision(), items);
    }

    /** Returns the items of a message. */
    static List<StoreItem> items(StoreItemsMessage message) {
        return message.items().stream().map(StoreItemsCodec::decode).toList();
    }

    /** Returns the revision after which a message contains all changes. */
    static StoreRevision afterRevision(StoreItemsMessage message) {
        return new StoreRevision(message.afterEra(), message.afterRevision());
    }

    /** Returns the revision up to which a message contains all changes. */
    static StoreRevision revision(StoreItemsMessage message) {
        return new StoreRevision(message.era(), message.revision());
    }

    private static StoreItem decode(StoreItemsMessage.Item item) {
        StoreRevision revision = new StoreRevision(item.era(), item.revision());
        if (item.value() == null) {
            return StoreItem.removed(item.key(), revision);
        }
        byte[] value = new byte[item.value().remaining()];
        item.value().duplicate().get(value);
        return StoreItem.present(item.key(), revision, value);
    }
}
