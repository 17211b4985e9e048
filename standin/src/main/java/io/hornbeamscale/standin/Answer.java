package io.hornbeamscale.standin;

import java.util.Map;

/**
 * A whole HTTP answer.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body, sent as UTF-8
 */
record Answer(int status, Map<String, String> headers, String body) {
    static Answer json(int status, Object node) {
        return new Answer(status, Map.of("Content-Type", "application/json"), Json.text(node));
    }

    static Answer error(int status, String code) {
        return json(status, Map.of("error", code));
    }
}
