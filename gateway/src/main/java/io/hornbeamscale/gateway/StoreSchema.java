package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.route.RouteDocument;
import java.util.Optional;

/** Names and decodes what stands in the metadata store. Decides nothing. */
public interface StoreSchema {
    /**
     * Returns the prefix of the operator's keys.
     *
     * @return the prefix, never null
     */
    String operatorPrefix();

    /**
     * Returns the key of the document.
     *
     * @return the key, never null
     */
    String documentKey();

    /**
     * Returns the prefix of the backend servers' registrations; the rest of the key is the server's id.
     *
     * @return the prefix, never null
     */
    String serverPrefix();

    /**
     * Returns the prefix of the entries' own registrations; the rest of the key is the entry's name.
     *
     * @return the prefix, never null
     */
    String entryPrefix();

    /**
     * Returns the prefix of the other keys that entries write.
     *
     * @return the prefix, never null
     */
    String ownPrefix();

    /**
     * Decodes the document.
     *
     * @param value the value of its key, not null
     * @return the document, empty if the value cannot be read
     */
    Optional<RouteDocument> decodeDocument(byte[] value);

    /**
     * Decodes a registration. Anything may have written it.
     *
     * @param id the id of the server, not null
     * @param value the value of its key, not null
     * @return the registration, empty if it names no server to use
     */
    Optional<ServerRegistration> decodeServer(String id, byte[] value);
}
