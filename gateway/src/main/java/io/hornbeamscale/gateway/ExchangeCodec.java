package io.hornbeamscale.gateway;

import io.undertow.util.HeaderMap;
import java.util.Optional;

/** Translates the headers and engine calls of the platform to and from the entry's own types. Decides nothing. */
public interface ExchangeCodec {
    /**
     * Decodes the headers of a caller's request. Malformed optional values count as missing.
     *
     * @param headers the headers, not null
     * @return the decoded values, never null
     */
    CallerHead decodeCaller(HeaderMap headers);

    /**
     * Builds the headers of a request to a backend server: those of the caller, but for the ones that belong to one
     * connection, the customer's key and those that only the system may set.
     *
     * @param caller the caller's headers, not null
     * @param fields what the entry adds, not null
     * @return new headers, never null
     */
    HeaderMap encodeRequest(HeaderMap caller, SendFields fields);

    /**
     * Decodes the headers of a backend server's response.
     *
     * @param status the status code of the response
     * @param headers the headers, not null
     * @return the decoded values, never null
     */
    ServerHead decodeServer(int status, HeaderMap headers);

    /**
     * Copies the headers of a backend server's response that a caller gets.
     *
     * @param from the server's headers, not null
     * @param to the headers of the response to the caller, not null
     */
    void copyResponse(HeaderMap from, HeaderMap to);

    /**
     * Sets the headers of a response that the entry makes itself.
     *
     * @param to the headers of the response, not null
     * @param requestId the id of the request, empty if it has none
     * @param retryAfterMillis when the caller may come again, in milliseconds, negative to say nothing
     */
    void encodeOwn(HeaderMap to, Optional<String> requestId, long retryAfterMillis);

    /**
     * Builds the call that copies the state of a running request to another backend server.
     *
     * @param requestId the id of the request, not null
     * @param target the address of the other server as IP:PORT, not null
     * @param isLast whether the request stops before the rest is copied
     * @return the call, never null
     */
    EngineCall moveCall(String requestId, String target, boolean isLast);

    /**
     * Builds the call that asks an engine for its report.
     *
     * @return the call, never null
     */
    EngineCall reportCall();

    /**
     * Decodes whether an engine's report says that it is about to leave.
     *
     * @param status the status code, {@link ShortCall#NO_RESPONSE} if there is no response
     * @param body the body, not null
     * @return whether the report says so; false if it cannot be read
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
    MoveReply decodeMove(int status, byte[] body);

    /**
     * A call to an engine beside the requests.
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
     * @param events how many events the request had made when the copy was complete
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
        /** The target has no room or cannot be reached. */
        NO_ROOM,
        /** The response could not be understood. */
        FAILED
    }
}
