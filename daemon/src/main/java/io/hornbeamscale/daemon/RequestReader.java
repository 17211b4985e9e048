package io.hornbeamscale.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hornbeamscale.core.claim.DuplicateProtection;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentIndex;
import io.hornbeamscale.core.document.LimitsSpec;
import io.hornbeamscale.core.document.ModelSpec;
import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.document.WorkKindSpec;
import io.hornbeamscale.core.entry.EntryRequest;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.id.ServiceId;
import io.hornbeamscale.core.work.BackendCall;
import io.hornbeamscale.core.work.Payload;
import io.hornbeamscale.core.work.WorkItem;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Validates HTTP requests against a document and converts them into {@link EntryRequest}s. */
final class RequestReader {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int DEFAULT_MAX_TOKENS = 16;
    private static final long DEFAULT_MAX_WAIT_MILLIS = 30_000;
    /** The prompt is hashed after every multiple of this length. */
    private static final int PREFIX_STEP_CHARS = 256;

    private static final int MAX_PREFIXES = 16;
    private static final int MAX_KEY_CHARS = 255;

    private static final String BEARER_PREFIX = "bearer ";

    private final DocumentIndex index;

    RequestReader(Document document) {
        this.index = new DocumentIndex(document);
    }

    /** Returns the limits of the document. */
    LimitsSpec limits() {
        return index.document().limits();
    }

    /**
     * Returns the customer that an {@code Authorization} header identifies.
     *
     * @param authorization the value of the header, null if it is absent
     * @throws ServingException with {@link ErrorKind#UNAUTHORIZED} if there is no bearer key or it is unknown
     */
    CustomerSpec authenticate(String authorization) {
        if (authorization == null || !authorization.toLowerCase(Locale.ROOT).startsWith(BEARER_PREFIX)) {
            throw new ServingException(ErrorKind.UNAUTHORIZED, "the header Authorization must hold a bearer key");
        }
        String key = authorization.substring(BEARER_PREFIX.length()).strip();
        return index.customerByKeyDigest(Sha256.hex(key))
                .orElseThrow(() -> new ServingException(ErrorKind.UNAUTHORIZED, "the key is unknown"));
    }

    /**
     * Reads a completion request.
     *
     * @throws ServingException if the request is invalid or the customer may not call the service
     */
    EntryRequest readCompletion(
            RequestId id, CustomerSpec customer, Map<String, String> headers, byte[] body, long nowMillis) {
        ObjectNode json = parse(body);
        String prompt = requiredText(json, "prompt");
        ModelSpec model = model(json.path("model"));
        ServiceSpec service = serviceOf(model, customer);
        int maxTokens = maxTokens(json.path("max_tokens"), model);
        boolean isStreaming = optionalFlag(json, "stream");
        WorkKindSpec kind = workKind(headers);
        json.put("stream", true).put("max_tokens", maxTokens).put("priority", kind.priority());
        WorkItem work = new WorkItem(
                id,
                new ServiceId(service.name()),
                new CustomerId(customer.name()),
                kind.name(),
                kind.priority(),
                countTokens(prompt),
                maxTokens,
                prefixHashes(prompt),
                nowMillis,
                nowMillis + kind.maxWaitMillis(),
                true,
                false,
                false,
                model.name());
        BackendCall call = new BackendCall(
                "POST", "/v1/completions", Map.of("content-type", "application/json"), Payload.of(write(json)));
        boolean mayRestart = "allow".equalsIgnoreCase(headers.getOrDefault("x-restart", ""));
        return new EntryRequest(
                work,
                call,
                isStreaming,
                mayRestart,
                idempotencyKey(headers),
                DuplicateProtection.REPEATABLE,
                PromptPassages.of(model.name(), prompt));
    }

    /**
     * Reads a call to a plain service.
     *
     * @param path the path below the service, which starts with a slash
     * @param query the query string without question mark, empty for none
     * @throws ServingException if there is no such service, the customer may not call it, or a header is invalid
     */
    EntryRequest readPlainCall(
            RequestId id,
            CustomerSpec customer,
            String serviceName,
            String method,
            String path,
            String query,
            Map<String, String> headers,
            byte[] body,
            long nowMillis) {
        ServiceSpec service = index.service(serviceName)
                .filter(s -> s.kind() == ServiceKind.PLAIN)
                .orElseThrow(() -> new ServingException(
                        ErrorKind.NOT_FOUND, "there is no plain service named '" + serviceName + "'"));
        checkAccess(service, customer);
        WorkKindSpec kind = workKind(headers);
        String key = idempotencyKey(headers);
        DuplicateProtection protection = DuplicateProtection.of(service, method, path, key);
        WorkItem work = new WorkItem(
                id,
                new ServiceId(service.name()),
                new CustomerId(customer.name()),
                kind.name(),
                kind.priority(),
                0,
                0,
                List.of(),
                nowMillis,
                nowMillis + kind.maxWaitMillis(),
                protection.isRepeatable(),
                true,
                false,
                "");
        String target = query.isEmpty() ? path : path + "?" + query;
        BackendCall call = new BackendCall(method, target, HeaderFilter.filterRequest(headers), Payload.of(body));
        return new EntryRequest(work, call, false, false, key, protection, List.of());
    }

    private static ObjectNode parse(byte[] body) {
        try {
            if (JSON.readTree(body) instanceof ObjectNode node) {
                return node;
            }
        } catch (JsonProcessingException e) {
            throw badRequest("the body is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ServingException(ErrorKind.BAD_REQUEST, RunOutcome.NOT_RUN, "the body is not readable", e);
        }
        throw badRequest("the body must be a JSON object");
    }

    private static String requiredText(JsonNode json, String name) {
        JsonNode node = json.path(name);
        if (!node.isTextual() || node.asText().isBlank()) {
            throw badRequest("'" + name + "' must be a text that is not blank");
        }
        return node.asText();
    }

    private static boolean optionalFlag(JsonNode json, String name) {
        JsonNode node = json.path(name);
        if (!node.isMissingNode() && !node.isBoolean()) {
            throw badRequest("'" + name + "' must be true or false");
        }
        return node.asBoolean();
    }

    private static int maxTokens(JsonNode node, ModelSpec model) {
        if (node.isMissingNode()) {
            return Math.min(DEFAULT_MAX_TOKENS, model.maxOutputTokens());
        }
        if (!node.canConvertToInt()
                || !node.isIntegralNumber()
                || node.asInt() < 1
                || node.asInt() > model.maxOutputTokens()) {
            throw badRequest("'max_tokens' must be a whole number from 1 to " + model.maxOutputTokens());
        }
        return node.asInt();
    }

    private ModelSpec model(JsonNode node) {
        if (!node.isTextual()) {
            throw badRequest("'model' must name a model");
        }
        return index.model(node.asText())
                .orElseThrow(() ->
                        new ServingException(ErrorKind.NOT_FOUND, "there is no model named '" + node.asText() + "'"));
    }

    private ServiceSpec serviceOf(ModelSpec model, CustomerSpec customer) {
        ServiceSpec forbidden = null;
        for (ServiceSpec service : index.document().services()) {
            if (service.models().contains(model.name())) {
                if (customer.services().contains(service.name())) {
                    return service;
                }
                forbidden = service;
            }
        }
        if (forbidden == null) {
            throw new ServingException(ErrorKind.NOT_FOUND, "no service offers the model '" + model.name() + "'");
        }
        checkAccess(forbidden, customer);
        return forbidden;
    }

    private static void checkAccess(ServiceSpec service, CustomerSpec customer) {
        if (!customer.services().contains(service.name())) {
            throw new ServingException(
                    ErrorKind.FORBIDDEN,
                    "customer '" + customer.name() + "' may not call service '" + service.name() + "'");
        }
    }

    private WorkKindSpec workKind(Map<String, String> headers) {
        String name = headers.get("x-work-kind");
        if (name == null) {
            List<WorkKindSpec> kinds = index.document().workKinds();
            return kinds.isEmpty() ? new WorkKindSpec("default", 0, DEFAULT_MAX_WAIT_MILLIS) : kinds.get(0);
        }
        return index.workKind(name)
                .orElseThrow(() -> badRequest("the header X-Work-Kind names no kind of work: '" + name + "'"));
    }

    private static String idempotencyKey(Map<String, String> headers) {
        String key = headers.getOrDefault("idempotency-key", "");
        if (key.length() > MAX_KEY_CHARS) {
            throw badRequest("the header Idempotency-Key must have at most " + MAX_KEY_CHARS + " characters");
        }
        return key;
    }

    /** Estimates the token count by the number of words, since the engine's tokenizer is not available here. */
    private static int countTokens(String prompt) {
        int count = 0;
        boolean wasSpace = true;
        for (int i = 0; i < prompt.length(); i++) {
            boolean isSpace = Character.isWhitespace(prompt.charAt(i));
            if (wasSpace && !isSpace) {
                count++;
            }
            wasSpace = isSpace;
        }
        return count;
    }

    /** Hashes growing prefixes of a prompt, by which the dispatcher finds a backend server that has them cached. */
    private static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = 1125899906842597L;
        for (int i = 0; i < prompt.length() && hashes.size() < MAX_PREFIXES; i++) {
            hash = 31 * hash + prompt.charAt(i);
            if ((i + 1) % PREFIX_STEP_CHARS == 0) {
                hashes.add(hash);
            }
        }
        return hashes;
    }

    private static byte[] write(ObjectNode json) {
        try {
            return JSON.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }

    private static ServingException badRequest(String message) {
        return new ServingException(ErrorKind.BAD_REQUEST, message);
    }
}
