package io.hornbeamscale.core.dispatch;

import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.id.ZoneId;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.core.work.WorkItem;

/**
 * The location of a backend server and what it serves.
 *
 * @param backend the backend server, not null
 * @param service the service that it serves, not null
 * @param model the model that it runs, empty for plain services, not null
 * @param zone the availability zone, not null
 * @param region the region, not null
 */
public record BackendDescriptor(BackendId backend, ServiceId service, String model, ZoneId zone, RegionId region) {
    /** Checks the parts. */
    public BackendDescriptor {
        Arguments.notNull(backend, "backend");
        Arguments.notNull(service, "service");
        Arguments.notNull(model, "model");
        Arguments.notNull(zone, "zone");
        Arguments.notNull(region, "region");
    }

    /**
     * Returns whether the backend server can run a request.
     *
     * @param work the request, not null
     * @return whether service and model match
     */
    public boolean serves(WorkItem work) {
        return service.equals(work.service())
                && (work.model().isEmpty() || work.model().equals(model));
    }
}
