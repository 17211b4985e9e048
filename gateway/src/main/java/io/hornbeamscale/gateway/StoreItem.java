package io.hornbeamscale.gateway;

import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.core.util.Arguments;
import java.util.Arrays;

/** One key of the metadata store at one revision. Immutable. */
public final class StoreItem {
    private final String key;
    private final StoreRevision revision;
    private final byte[] value;

    private StoreItem(String key, StoreRevision revision, byte[] value) {
        this.key = Arguments.notNull(key, "key");
        this.revision = Arguments.notNull(revision, "revision");
        this.value = value;
    }

    /**
     * Creates an item that has a value.
     *
     * @param key the key, not null
     * @param revision the revision of the last change, not null
     * @param value the value, not null; not copied, must not be changed
     * @return the item, never null
     */
    public static StoreItem present(String key, StoreRevision revision, byte[] value) {
        return new StoreItem(key, revision, Arguments.notNull(value, "value"));
    }

    /**
     * Creates an item that was removed.
     *
     * @param key the key, not null
     * @param revision the revision of the removal, not null
     * @return the item, never null
     */
    public static StoreItem removed(String key, StoreRevision revision) {
        return new StoreItem(key, revision, null);
    }

    /**
     * Returns the key.
     *
     * @return the key, never null
     */
    public String key() {
        return key;
    }

    /**
     * Returns the revision of the last change.
     *
     * @return the revision, never null
     */
    public StoreRevision revision() {
        return revision;
    }

    /**
     * Returns whether the key was removed.
     *
     * @return whether the item was removed
     */
    public boolean isRemoved() {
        return value == null;
    }

    /**
     * Returns the value.
     *
     * @return the value, must not be changed, null if the item was removed
     */
    public byte[] value() {
        return value;
    }

    @Override
    public String toString() {
        return key + "@" + revision + (value == null ? " removed" : " " + Arrays.hashCode(value));
    }
}
