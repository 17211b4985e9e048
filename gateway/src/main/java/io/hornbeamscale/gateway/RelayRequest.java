package io.hornbeamscale.gateway;

import io.hornbeamscale.core.admission.AdmissionRequest;
import io.hornbeamscale.core.admission.RepeatDetector;
import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.AllowedRegions;
import io.hornbeamscale.core.route.Customer;
import io.hornbeamscale.core.route.RequestKind;
import io.hornbeamscale.core.route.Route;
import io.hornbeamscale.core.route.RoutedService;
import io.undertow.util.HeaderMap;
import java.nio.ByteBuffer;
import java.util.Objects;
import java.util.Optional;

/**
 * A caller's request that was read in full and passed the checks.
 *
 * @param head the decoded values of its headers
 * @param route the route that it matched
 * @param customer the customer, empty on public routes
 * @param service the service that runs it
 * @param method the HTTP method
 * @param target the path with its query, as sent by the caller
 * @param headers the caller's headers
 * @param body the body
 * @param hasLength whether the caller sent a body, even an empty one
 * @param documentVersion the version of the document that the request was routed with
 * @param arrivedAtMillis when its head arrived, in milliseconds of {@link ControlLoop#now()}
 * @param deadlineMillis when the complete response is due at the latest, on the same clock
 */
record RelayRequest(
        CallerRequestHead head,
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
    /** The least urgent priority that an engine distinguishes. */
    private static final int LOWEST_ENGINE_PRIORITY = 9;

    /** The assumed length of a response if the headers do not tell, in tokens. */
    private static final long DEFAULT_TOKENS = 256;

    /** The length of the end of a body that distinguishes requests; prompts may begin with the same text. */
    private static final int MAX_HASHED_BYTES = 16 * 1024;

    /** Returns the request id for log lines, "-" if there is none. */
    String id() {
        return head.requestId().orElse("-");
    }

    /** Returns the name of the customer, empty if there is none. */
    String customerName() {
        return customer.map(Customer::name).orElse("");
    }

    /** Returns whether an engine generates the response as a stream. */
    boolean isGeneration() {
        return route.kind() == RequestKind.STREAMING && service.engine().isPresent();
    }

    /** Returns the terms of the first send: the regions that both the route and the customer allow. */
    SendTerms terms() {
        AllowedRegions ofCustomer = customer.map(Customer::allowedRegions).orElse(AllowedRegions.ANY);
        return SendTerms.of(route.allowedRegions().and(ofCustomer));
    }

    /** Returns the time left until the deadline, in milliseconds, negative after it. */
    long remainingMillis(long nowMillis) {
        return deadlineMillis - nowMillis;
    }

    /** Returns the id of the last event that the caller has received, 0 if the stream starts from its beginning. */
    long lastEventId() {
        try {
            return head.lastEventId().map(Long::parseLong).orElse(0L);
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    /**
     * Returns the priority of the request, 0 is the most urgent: that of the customer if it has one, else that of the
     * route.
     */
    int priority() {
        int own = customer.map(Customer::priority).orElse(-1);
        return own >= 0 ? own : route.priority();
    }

    /**
     * Returns the priority at the engine, 0 is the most urgent. Engines process the prompts of urgent requests first,
     * so that a short response does not wait behind the prompts of long ones that were placed before it.
     */
    int enginePriority() {
        return Math.max(0, Math.min(LOWEST_ENGINE_PRIORITY, priority()));
    }

    /** Returns the expected size of the generation. The length hint takes precedence over the greatest length. */
    GenerationSize size() {
        long expected = head.hintedTokens() > 0 ? head.hintedTokens() : head.maxOutputTokens();
        return new GenerationSize(head.promptTokens(), expected > 0 ? expected : DEFAULT_TOKENS);
    }

    /**
     * Returns what the admission of the generation depends on.
     *
     * @param isRepeat whether the caller repeats a refused request too early
     */
    AdmissionRequest admission(boolean isRepeat) {
        GenerationSize size = size();
        return new AdmissionRequest(
                service.name(),
                route.name(),
                customerName(),
                Math.max(0, priority()),
                size.promptTokens(),
                size.expectedTokens(),
                arrivedAtMillis,
                Math.max(0, route.objectiveMillis()),
                deadlineMillis,
                isRepeat);
    }

    /** Returns what is the same in a repeat of this request. */
    RepeatDetector.Key identity() {
        int hashed = Math.min(body.remaining(), MAX_HASHED_BYTES);
        ByteBuffer end = body.slice(body.limit() - hashed, hashed);
        return new RepeatDetector.Key(
                customerName(), route.name(), Objects.hash(method, target, body.remaining(), end));
    }

    /** Returns the greatest length of the response, in tokens, or the expected length if the caller sets no limit. */
    long maxTokens() {
        return head.maxOutputTokens() > 0 ? head.maxOutputTokens() : size().expectedTokens();
    }
}
