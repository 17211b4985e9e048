package io.hornbeamscale.gateway;

import io.hornbeamscale.core.fleet.ServerRegistration;
import io.hornbeamscale.core.route.RouteDocument;
import java.util.Optional;

/** The keys of the metadata store and the decoding of their values. Makes no decisions. */
public interface StoreSchema {
    /**
     * Returns the prefix of the keys that the operator writes.
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
     * Returns the prefix of the backend servers' registrations; the rest of the key is the id of the server.
     *
     * @return the prefix, never null
     */
    String serverPrefix();

    /**
     * Returns the prefix of the entries' registrations; the rest of the key is the name of the entry.
     *
     * @return the prefix, never null
     */
    String entryPrefix();

    /**
     * Returns the prefix of the operators' evacuations; the rest of the key is the name of the availability zone. A
     * zone is evacuated as long as its key exists, whatever its value.
     *
     * @return the prefix, never null
     */
    String evacuationPrefix();

    /**
     * Returns the prefix of the keys that this system writes, except for the registrations of servers.
     *
     * @return the prefix, never null
     */
    String systemPrefix();

    /**
     * Decodes the document.
     *
     * @param value the value of its key, not null
     * @return the document, empty if the value is malformed
     */
    Optional<RouteDocument> decodeDocument(byte[] value);

    /**
     * Decodes the registration of a backend server. Any process may have written the value.
     *
     * @param id the id of the server, not null
     * @param value the value of its key, not null
     * @return the registration, empty if the value is malformed or incomplete
     */
    Optional<ServerRegistration> decodeServer(String id, byte[] value);
}
