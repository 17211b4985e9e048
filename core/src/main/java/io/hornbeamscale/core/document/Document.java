package io.hornbeamscale.core.document;

import java.util.List;

/**
 * The operators' configuration document. Lists keep the order in which they were read; the canonical text, which is
 * stored, orders entities by name. Null lists become empty; null limits become the defaults.
 *
 * @param services the services
 * @param customers the customers
 * @param models the models
 * @param workKinds the kinds of work
 * @param backends the backend servers
 * @param regions the regions
 * @param limits the limits of the whole system
 */
public record Document(
        List<ServiceSpec> services,
        List<CustomerSpec> customers,
        List<ModelSpec> models,
        List<WorkKindSpec> workKinds,
        List<BackendSpec> backends,
        List<RegionSpec> regions,
        LimitsSpec limits) {
    /** Copies the lists and replaces null by empty lists or default limits. */
    public Document {
        services = NullToEmpty.list(services);
        customers = NullToEmpty.list(customers);
        models = NullToEmpty.list(models);
        workKinds = NullToEmpty.list(workKinds);
        backends = NullToEmpty.list(backends);
        regions = NullToEmpty.list(regions);
        limits = limits == null ? LimitsSpec.defaults() : limits;
    }

    /**
     * Returns a document without entities.
     *
     * @return the document with default limits, never null
     */
    public static Document empty() {
        return new Document(null, null, null, null, null, null, null);
    }
}
