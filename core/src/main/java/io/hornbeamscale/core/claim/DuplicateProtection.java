package io.hornbeamscale.core.claim;

import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.util.Arguments;

/**
 * How a call is protected against a second execution. A claim is a record in the store that assigns an idempotency key
 * to one attempt.
 */
public enum DuplicateProtection {
    /** The call may be executed more than once and needs no protection. */
    REPEATABLE,
    /**
     * The call must not be repeated and has no idempotency key: it is handed over to a backend server without a claim,
     * and is not retried after an attempt that may have run.
     */
    ONCE,
    /** The backend servers deduplicate calls by idempotency key: they receive the key, and no claim is needed. */
    PASS_KEY,
    /** The call is handed over to a backend server only after its claim is in the store. */
    CLAIM;

    /**
     * Selects the protection of a call. Only calls that the service lists as non-idempotent in the configuration
     * document are protected; model services have none.
     *
     * @param service the service, not null
     * @param method the HTTP method in upper case, not null
     * @param path the path below the service, not null
     * @param idempotencyKey the caller's idempotency key, may be null
     * @return the protection, never null
     */
    public static DuplicateProtection of(ServiceSpec service, String method, String path, String idempotencyKey) {
        Arguments.notNull(service, "service");
        Arguments.notNull(method, "method");
        Arguments.notNull(path, "path");
        if (service.kind() == ServiceKind.MODEL || !isNonIdempotent(service, method, path)) {
            return REPEATABLE;
        }
        if (idempotencyKey == null || idempotencyKey.isBlank()) {
            return ONCE;
        }
        return service.deduplicatesKeys() ? PASS_KEY : CLAIM;
    }

    /**
     * Returns whether the call may be attempted again although an earlier attempt has possibly run.
     *
     * @return true if the call may be executed more than once or the backend server deduplicates it
     */
    public boolean isRepeatable() {
        return this == REPEATABLE || this == PASS_KEY;
    }

    private static boolean isNonIdempotent(ServiceSpec service, String method, String path) {
        for (String methodAndPrefix : service.nonIdempotent()) {
            int separator = methodAndPrefix.indexOf(' ');
            if (separator > 0
                    && methodAndPrefix.substring(0, separator).equalsIgnoreCase(method)
                    && path.startsWith(methodAndPrefix.substring(separator + 1).trim())) {
                return true;
            }
        }
        return false;
    }
}
