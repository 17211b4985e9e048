package io.hornbeamscale.core.hedge;

import java.util.Locale;

/** Why a request is not hedged. */
public enum HedgeDenial {
    /** The settings do not ask for hedging. */
    OFF,
    /** The request may run only once. */
    NOT_REPEATABLE,
    /** A response to the request has begun. */
    RESPONSE_BEGUN,
    /** The request has been hedged before. */
    ALREADY_HEDGED,
    /** The request has been sent to as many servers as its route allows. */
    MAX_SERVERS,
    /** Too few response times of the service are known. */
    UNKNOWN_TIMES,
    /** The time limit of the request leaves no time for a second response. */
    NO_TIME,
    /** Requests to the service arrive well above its recent average. */
    BURST,
    /** Most slots of the servers that may get the request are taken. */
    OVERLOAD,
    /** No other server may get the request without waiting. */
    NO_SERVER,
    /** No other server is expected to respond sooner. */
    NO_BETTER_SERVER,
    /** The hedges reach their share of the requests over all services. */
    SHARE,
    /** The hedges reach their share of the requests of the service. */
    SERVICE_SHARE,
    /** The hedges reach their share of the requests of the customer. */
    CUSTOMER_SHARE,
    /** The rest of the retry budget is kept for retries. */
    RETRY_BUDGET;

    /**
     * Returns the name for metrics and log lines.
     *
     * @return the name in lower case with underscores, never null
     */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
