package io.hornbeamscale.gateway;

import io.undertow.util.HeaderMap;
import java.util.Optional;

/** Translates the headers and engine calls of the platform to and from the types of the gateway. Makes no decisions. */
public interface ExchangeCodec {
    /**
     * Decodes the headers of a caller's request. Malformed optional values count as missing.
     *
     * @param headers the headers, not null
     * @return the decoded values, never null
     */
    CallerRequestHead decodeCallerRequest(HeaderMap headers);

    /**
     * Builds the headers of a request to a backend server from the caller's headers and the given fields. Hop-by-hop
     * headers, the customer's API key and headers that only the system may set are not copied from the caller.
     *
     * @param caller the caller's headers, not null
     * @param fields the values that the entry adds, not null
     * @return new headers, never null
     */
    HeaderMap encodeBackendRequest(HeaderMap caller, BackendRequestFields fields);

    /**
     * Decodes the headers of a backend server's response.
     *
     * @param status the status code of the response
     * @param headers the headers, not null
     * @return the decoded values, never null
     */
    BackendResponseHead decodeBackendResponse(int status, HeaderMap headers);

    /**
     * Copies the headers of a backend server's response to the response to the caller, without hop-by-hop headers.
     *
     * @param from the server's headers, not null
     * @param to the headers of the response to the caller, not null
     */
    void copyResponseHeaders(HeaderMap from, HeaderMap to);

    /**
     * Sets the headers of a response that the entry generates itself.
     *
     * @param to the headers of the response, not null
     * @param requestId the id of the request, empty if it has none
     * @param retryAfterMillis when the caller may retry, in milliseconds from now, negative to send no header
     */
    void encodeLocalResponse(HeaderMap to, Optional<String> requestId, long retryAfterMillis);

    /**
     * Builds the call that copies the state of a running request to another backend server.
     *
     * @param requestId the id of the request, not null
     * @param target the address of the other server as IP:PORT, not null
     * @param isLast whether the engine stops the request before it copies the rest
     * @return the call, never null
     */
    EngineCall moveCall(String requestId, String target, boolean isLast);

    /**
     * Builds the call that requests the report of an engine.
     *
     * @return the call, never null
     */
    EngineCall reportCall();

    /**
     * Returns whether an engine's report says that the server is leaving.
     *
     * @param status the status code, {@link BufferedCall#NO_RESPONSE} if there is no complete response
     * @param body the body, not null
     * @return whether the server is leaving; false if the report cannot be read
     */
    boolean isLeaving(int status, byte[] body);

    /**
     * Builds the call that frees a copy.
     *
     * @param handle the name of the copy, not null
     * @return the call, never null
     */
    EngineCall releaseCall(String handle);

    /**
     * Decodes the response to {@link #moveCall}.
     *
     * @param status the status code
     * @param body the body, not null
     * @return the result, never null
     */
    MoveReply decodeMoveReply(int status, byte[] body);

    /**
     * A control call to an engine.
     *
     * @param method the HTTP method
     * @param path the path
     * @param body the body, empty for none
     */
    record EngineCall(String method, String path, String body) {}

    /**
     * The result of a copy.
     *
     * @param outcome what happened
     * @param handle the name of the copy, empty if there is none
     * @param events the number of events that the request had generated when the copy was complete
     */
    record MoveReply(MoveOutcome outcome, Optional<String> handle, long events) {}

    /** How a copy ended. */
    enum MoveOutcome {
        /** The copy is complete. */
        COPIED,
        /** The engine does not run the request. */
        NO_SUCH_RUN,
        /** Another copy of the request is in progress. */
        BUSY,
        /** The target has no room or is unreachable. */
        NO_ROOM,
        /** The response is malformed or has an unexpected status. */
        FAILED
    }
}
