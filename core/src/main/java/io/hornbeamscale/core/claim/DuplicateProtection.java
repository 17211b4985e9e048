package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.util.Arguments;

/** How a call is protected against a second execution. */
public enum DuplicateProtection {
    /** The call may be repeated; it needs no claim. */
    REPEATABLE,
    /** The call must not be repeated and has no key: it is handed over once, without a claim, and is not retried. */
    ONCE,
    /** The backend servers deduplicate calls by key: the key is passed on to them, without a claim. */
    PASS_KEY,
    /** The call is handed over only after its claim is in the store. */
    CLAIM;

    /**
     * Selects the protection of a call by the service's list of non-idempotent calls in the document.
     *
     * @param service the service, not null
     * @param method the HTTP method in upper case, not null
     * @param path the path below the service, not null
     * @param idempotencyKey the caller's key, may be null
     * @return the protection, never null
     */
    public static DuplicateProtection of(ServiceSpec service, String method, String path, String idempotencyKey) {
        Arguments.notNull(service, "service");
        Arguments.notNull(method, "method");
        Arguments.notNull(path, "path");
        if (service.kind() == ServiceKind.MODEL || !isListed(service, method, path)) {
            return REPEATABLE;
        }
        if (idempotencyKey == null || idempotencyKey.isBlank()) {
            return ONCE;
        }
        return service.deduplicatesKeys() ? PASS_KEY : CLAIM;
    }

    /**
     * Returns whether a second attempt may follow an attempt that may have run.
     *
     * @return whether the call may be executed more than once, or the backend server deduplicates it
     */
    public boolean isRepeatable() {
        return this == REPEATABLE || this == PASS_KEY;
    }

    private static boolean isListed(ServiceSpec service, String method, String path) {
        for (String listed : service.nonIdempotent()) {
            int space = listed.indexOf(' ');
            if (space > 0
                    && listed.substring(0, space).equalsIgnoreCase(method)
                    && path.startsWith(listed.substring(space + 1).trim())) {
                return true;
            }
        }
        return false;
    }
}
