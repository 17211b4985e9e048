package io.hornbeamscale.standin;

import java.util.Map;

/**
 * A complete HTTP response of a stand-in.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body, sent as UTF-8
 */
record StandInResponse(int status, Map<String, String> headers, String body) {
    static StandInResponse json(int status, Object node) {
        return new StandInResponse(status, Map.of("Content-Type", "application/json"), StandInJson.text(node));
    }

    /** Returns the response to a request that was not executed, with the statement that engines and services add. */
    static StandInResponse refusal(int status) {
        return new StandInResponse(
                status,
                Map.of("Content-Type", "application/json", "X-Not-Run", "1"),
                StandInJson.text(Map.of("error", "refused")));
    }

    static StandInResponse error(int status, String code) {
        return json(status, Map.of("error", code));
    }
}
