package io.hornbeamscale.core.document;

import java.util.List;

/** The kinds of entities, each with its section of the document. */
public enum EntityKind {
    /** Services that customers call. */
    SERVICE("services", "service", ServiceSpec.class),
    /** Customers with their keys and limits. */
    CUSTOMER("customers", "customer", CustomerSpec.class),
    /** Models that engines load. */
    MODEL("models", "model", ModelSpec.class),
    /** Kinds of work and their priorities. */
    WORK_KIND("workKinds", "work kind", WorkKindSpec.class),
    /** Backend servers and their properties. */
    BACKEND("backends", "backend server", BackendSpec.class),
    /** Regions and their link budgets. */
    REGION("regions", "region", RegionSpec.class);

    private final String section;
    private final String title;
    private final Class<? extends Entity> type;

    EntityKind(String section, String title, Class<? extends Entity> type) {
        this.section = section;
        this.title = title;
        this.type = type;
    }

    /**
     * Returns the section of the document that lists the entities of this kind.
     *
     * @return the key of the section, never null
     */
    public String section() {
        return section;
    }

    /**
     * Returns the name of one entity of this kind, for messages.
     *
     * @return the name in lower case and singular, never null
     */
    public String title() {
        return title;
    }

    /**
     * Returns the record class of the entities.
     *
     * @return the class, never null
     */
    public Class<? extends Entity> type() {
        return type;
    }

    /**
     * Returns the entities of this kind.
     *
     * @param document the document, not null
     * @return the entities in the order of the document, never null
     */
    public List<? extends Entity> of(Document document) {
        return switch (this) {
            case SERVICE -> document.services();
            case CUSTOMER -> document.customers();
            case MODEL -> document.models();
            case WORK_KIND -> document.workKinds();
            case BACKEND -> document.backends();
            case REGION -> document.regions();
        };
    }

    /**
     * Finds a kind by its section.
     *
     * @param section the key of the section, may be null
     * @return the kind, or null if no kind has this section
     */
    public static EntityKind ofSection(String section) {
        for (EntityKind kind : values()) {
            if (kind.section.equals(section)) {
                return kind;
            }
        }
        return null;
    }
}
