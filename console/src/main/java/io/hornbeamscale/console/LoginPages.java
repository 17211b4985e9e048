package io.hornbeamscale.console;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Signs operators in. Keeps the input of a form that was submitted after its session ended until after the sign-in. */
final class LoginPages {
    static final String KEPT_FIELD_PREFIX = "keep.";
    private static final Logger LOG = LogManager.getLogger(LoginPages.class);
    private static final int STATUS_UNAUTHORIZED = 401;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;

    // Password checks are deliberately slow; more of them at once would starve the entry's traffic of CPU time.
    private static final int MAX_CONCURRENT_CHECKS = 2;

    // Checked for unknown operators, so that the response time does not reveal which names exist.
    private static final String UNKNOWN_OPERATOR_HASH =
            "pbkdf2-sha256$600000$00000000000000000000000000000000$" + "0".repeat(64);

    private final ConsoleSettings settings;
    private final SessionTokens tokens;
    private final PageRenderer renderer;
    private final LoginThrottle throttle = new LoginThrottle();
    private final Semaphore checks = new Semaphore(MAX_CONCURRENT_CHECKS);

    LoginPages(ConsoleSettings settings, SessionTokens tokens, PageRenderer renderer) {
        this.settings = settings;
        this.tokens = tokens;
        this.renderer = renderer;
    }

    /** Returns the sign-in page; the fields of a form whose session has ended are kept as hidden fields. */
    ConsoleResponse showSignIn(ConsoleRequest request) {
        Map<String, List<String>> kept = new LinkedHashMap<>();
        String next = request.path();
        if (request.isPost()) {
            request.fields().forEach((name, values) -> kept.put(KEPT_FIELD_PREFIX + name, values));
            kept.remove(KEPT_FIELD_PREFIX + "csrf");
        }
        return form(kept.isEmpty() ? 200 : STATUS_UNAUTHORIZED, next, kept, "", kept.isEmpty() ? "" : "expired");
    }

    private ConsoleResponse form(
            int status, String next, Map<String, List<String>> kept, String operator, String problem) {
        PageModel model = PageModel.anonymous("Sign in")
                .with("next", next)
                .with("kept", kept)
                .with("name", operator)
                .with("problem", problem);
        return ConsoleResponse.html(status, renderer.render("login", model.values()));
    }

    /** Checks the name and password; the response sets a session cookie if they are correct. */
    ConsoleResponse signIn(ConsoleRequest request, long nowMillis) {
        String operator = request.firstValue("operator");
        String operatorSubject = "operator " + operator;
        String clientSubject = "client " + request.client();
        Map<String, List<String>> kept = new LinkedHashMap<>();
        request.fields().forEach((name, values) -> {
            if (name.startsWith(KEPT_FIELD_PREFIX)) {
                kept.put(name, values);
            }
        });
        boolean isAllowed =
                throttle.isAllowed(operatorSubject, nowMillis) && throttle.isAllowed(clientSubject, nowMillis);
        if (!isAllowed || !checks.tryAcquire()) {
            return form(STATUS_TOO_MANY_REQUESTS, request.firstValue("next"), kept, operator, "throttled");
        }
        boolean isCorrect;
        try {
            isCorrect = isPasswordCorrect(
                    operator,
                    request.fields().getOrDefault("password", List.of("")).get(0));
        } finally {
            checks.release();
        }
        if (!isCorrect) {
            throttle.failed(operatorSubject, nowMillis);
            throttle.failed(clientSubject, nowMillis);
            LOG.warn("[console] sign-in refused for a client at {}", request.client());
            return form(STATUS_UNAUTHORIZED, request.firstValue("next"), kept, operator, "wrong");
        }
        throttle.succeeded(operatorSubject);
        LOG.info("[console] operator {} signed in from {}", operator, request.client());
        return resumeSession(request, kept, tokens.start(operator, nowMillis));
    }

    private boolean isPasswordCorrect(String operator, String password) {
        String hash = settings.operators().get(operator);
        boolean matches = PasswordHash.matches(password, hash == null ? UNKNOWN_OPERATOR_HASH : hash);
        return hash != null && matches;
    }

    private ConsoleResponse resumeSession(ConsoleRequest request, Map<String, List<String>> kept, Session session) {
        String next = Console.localPath(request.firstValue("next"));
        if (kept.isEmpty()) {
            return ConsoleResponse.seeOther(next).withCookie(tokens.encode(session));
        }
        Map<String, List<String>> fields = new LinkedHashMap<>();
        kept.forEach((name, values) -> fields.put(name.substring(KEPT_FIELD_PREFIX.length()), values));
        PageModel model = PageModel.of(
                        new RequestContext(request, session, tokens.csrfToken(session), 0), "Welcome back")
                .with("kept", fields)
                .with("action", Console.formPath(next));
        return ConsoleResponse.html(200, renderer.render("resume", model.values()))
                .withCookie(tokens.encode(session));
    }
}
