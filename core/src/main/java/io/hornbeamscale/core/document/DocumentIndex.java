package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds entities of a document by name and customers by the digest of a key, in constant time. Immutable. */
public final class DocumentIndex {
    private final Document document;
    private final Map<EntityKind, Map<String, Entity>> byName = new EnumMap<>(EntityKind.class);
    private final Map<String, CustomerSpec> byKeyDigest = new HashMap<>();
    private final Map<String, List<BackendSpec>> byService = new HashMap<>();

    /**
     * Indexes a document. If a name or a key digest occurs several times, the first entity is found.
     *
     * @param document the document, not null
     */
    public DocumentIndex(Document document) {
        this.document = Arguments.notNull(document, "document");
        for (EntityKind kind : EntityKind.values()) {
            Map<String, Entity> names = new HashMap<>();
            kind.of(document).forEach(entity -> names.putIfAbsent(entity.name(), entity));
            byName.put(kind, names);
        }
        for (CustomerSpec customer : document.customers()) {
            customer.keyHashes().forEach(hash -> byKeyDigest.putIfAbsent(hash, customer));
        }
        for (BackendSpec backend : document.backends()) {
            byService
                    .computeIfAbsent(backend.service(), name -> new ArrayList<>())
                    .add(backend);
        }
        byService.replaceAll((name, backends) -> List.copyOf(backends));
    }

    /**
     * Returns the indexed document.
     *
     * @return the document, never null
     */
    public Document document() {
        return document;
    }

    /**
     * Finds an entity.
     *
     * @param kind the kind, not null
     * @param name the name, may be null
     * @return the entity, empty if there is none of this name
     */
    public Optional<Entity> find(EntityKind kind, String name) {
        return Optional.ofNullable(byName.get(Arguments.notNull(kind, "kind")).get(name));
    }

    /**
     * Finds a service.
     *
     * @param name the name, may be null
     * @return the service, empty if there is none of this name
     */
    public Optional<ServiceSpec> service(String name) {
        return find(EntityKind.SERVICE, name).map(ServiceSpec.class::cast);
    }

    /**
     * Finds a customer.
     *
     * @param name the name, may be null
     * @return the customer, empty if there is none of this name
     */
    public Optional<CustomerSpec> customer(String name) {
        return find(EntityKind.CUSTOMER, name).map(CustomerSpec.class::cast);
    }

    /**
     * Finds the customer that owns a key.
     *
     * @param digest the lower-case hexadecimal SHA-256 digest of the key, may be null
     * @return the customer, empty if no customer has this key
     */
    public Optional<CustomerSpec> customerByKeyDigest(String digest) {
        return Optional.ofNullable(byKeyDigest.get(digest));
    }

    /**
     * Finds a model.
     *
     * @param name the name, may be null
     * @return the model, empty if there is none of this name
     */
    public Optional<ModelSpec> model(String name) {
        return find(EntityKind.MODEL, name).map(ModelSpec.class::cast);
    }

    /**
     * Finds a kind of work.
     *
     * @param name the name, may be null
     * @return the kind of work, empty if there is none of this name
     */
    public Optional<WorkKindSpec> workKind(String name) {
        return find(EntityKind.WORK_KIND, name).map(WorkKindSpec.class::cast);
    }

    /**
     * Finds a backend server.
     *
     * @param name the name, may be null
     * @return the backend server, empty if there is none of this name
     */
    public Optional<BackendSpec> backend(String name) {
        return find(EntityKind.BACKEND, name).map(BackendSpec.class::cast);
    }

    /**
     * Finds a region.
     *
     * @param name the name, may be null
     * @return the region, empty if there is none of this name
     */
    public Optional<RegionSpec> region(String name) {
        return find(EntityKind.REGION, name).map(RegionSpec.class::cast);
    }

    /**
     * Returns the backend servers of a service.
     *
     * @param service the name of the service, may be null
     * @return the backend servers in the order of the document, never null
     */
    public List<BackendSpec> backendsOf(String service) {
        return service == null ? List.of() : byService.getOrDefault(service, List.of());
    }
}
