package io.hornbeamscale.core.document;

import java.util.List;

/**
 * The operators' document. Lists are in the operators' order.
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
        LimitsSpec limits) {}
