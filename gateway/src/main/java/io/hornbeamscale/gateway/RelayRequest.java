package io.hornbeamscale.gateway;

import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.Customer;
import io.hornbeamscale.core.route.Route;
import io.hornbeamscale.core.route.RoutedService;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A caller's request that was read in full and may be sent on.
 *
 * @param head what its headers say
 * @param route the route that it matched
 * @param customer the customer, empty on public routes
 * @param service the service that runs it
 * @param method the HTTP method
 * @param target the path with its query, as the caller sent it
 * @param headers the caller's headers
 * @param body the body
 * @param hasLength whether the caller sent a body, even an empty one
 * @param documentVersion the version of the document that decided
 * @param arrivedAtMillis when its head arrived
 * @param deadlineMillis when the final response is due at the latest
 */
record RelayRequest(
        CallerHead head,
        Route route,
        Optional<Customer> customer,
        RoutedService service,
        String method,
        String target,
        HeaderMap headers,
        ByteBuffer body,
        boolean hasLength,
        long documentVersion,
        long arrivedAtMillis,
        long deadlineMillis) {
    /** The length that is assumed for a response about which nothing is known, in tokens. */
    private static final long DEFAULT_TOKENS = 256;

    /** Returns the id for log lines. */
    String id() {
        return head.requestId().orElse("-");
    }

    /** Returns how much time is left until the deadline, in milliseconds. */
    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /** Returns the id of the last event that the caller has of the stream, 0 if it begins anew. */
    long lastEventId() {
        try {
            return head.lastEventId().map(Long::parseLong).orElse(0L);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /** Returns the rank of the request, 0 is the most urgent. */
    int priority() {
        int own = customer.map(Customer::priority).orElse(-1);
        return own >= 0 ? own : route.priority();
    }

    /** Returns the size of the generation, as far as the headers tell. */
    GenerationSize size() {
        long expected = head.hintedTokens() > 0 ? head.hintedTokens() : head.maxOutputTokens();
        return new GenerationSize(head.promptTokens(), expected > 0 ? expected : DEFAULT_TOKENS);
    }

    /** Returns how many tokens the response may have at most, as far as the caller says. */
    long maxTokens() {
        return head.maxOutputTokens() > 0 ? head.maxOutputTokens() : size().expectedTokens();
    }
}
