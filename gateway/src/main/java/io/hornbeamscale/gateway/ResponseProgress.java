package io.hornbeamscale.gateway;

/** How far the response to a request had come when its connection broke. */
enum ResponseProgress {
    /** No response head was received, so the server may not have begun to run the request. */
    WAITING,
    /** The server had just begun to respond. */
    BEGUN,
    /** The server had responded for a while. */
    ADVANCED
}
