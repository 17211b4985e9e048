package io.hornbeamscale.core.document;

/** A named entry in a section of the document: a service, customer, model, kind of work, backend server or region. */
public sealed interface Entity permits ServiceSpec, CustomerSpec, ModelSpec, WorkKindSpec, BackendSpec, RegionSpec {
    /**
     * Returns the name.
     *
     * @return the name, unique among entities of the same kind, never null
     */
    String name();
}
