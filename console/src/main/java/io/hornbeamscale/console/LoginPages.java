package io.hornbeamscale.console;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Semaphore;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Signs operators in and out. What was typed before a session ended is kept through the sign-in. */
final class LoginPages {
    static final String KEEP = "keep.";
    private static final Logger LOG = LogManager.getLogger(LoginPages.class);
    private static final int UNAUTHORIZED = 401;
    private static final int TOO_MANY_REQUESTS = 429;

    // Password checks are slow on purpose; more at once would starve the entry's traffic.
    private static final int MAX_CHECKS_AT_ONCE = 2;

    // Compared for unknown operators, so that the time does not tell which names exist.
    private static final String UNKNOWN_OPERATOR_HASH =
            "pbkdf2-sha256$600000$00000000000000000000000000000000$" + "0".repeat(64);

    private final ConsoleSettings settings;
    private final SessionTokens tokens;
    private final Pages pages;
    private final LoginThrottle throttle = new LoginThrottle();
    private final Semaphore checks = new Semaphore(MAX_CHECKS_AT_ONCE);

    LoginPages(ConsoleSettings settings, SessionTokens tokens, Pages pages) {
        this.settings = settings;
        this.tokens = tokens;
        this.pages = pages;
    }

    /** Asks for a sign-in; fields of a form whose session has ended are kept as hidden fields. */
    ConsoleResponse ask(ConsoleRequest request) {
        Map<String, List<String>> kept = new LinkedHashMap<>();
        String next = request.path();
        if (request.isPost()) {
            request.fields().forEach((name, values) -> kept.put(KEEP + name, values));
            kept.remove(KEEP + "csrf");
        }
        return form(kept.isEmpty() ? 200 : UNAUTHORIZED, next, kept, "", kept.isEmpty() ? "" : "expired");
    }

    private ConsoleResponse form(
            int status, String next, Map<String, List<String>> kept, String operator, String problem) {
        Model model = Model.anonymous("Sign in")
                .with("next", next)
                .with("kept", kept)
                .with("name", operator)
                .with("problem", problem);
        return ConsoleResponse.html(status, pages.render("login", model.values()));
    }

    /** Checks name and password; the response carries a session cookie if they are right. */
    ConsoleResponse signIn(ConsoleRequest request, long nowMillis) {
        String operator = request.first("operator");
        String byName = "operator " + operator;
        String byClient = "client " + request.client();
        Map<String, List<String>> kept = new LinkedHashMap<>();
        request.fields().forEach((name, values) -> {
            if (name.startsWith(KEEP)) {
                kept.put(name, values);
            }
        });
        boolean isAllowed = throttle.isAllowed(byName, nowMillis) && throttle.isAllowed(byClient, nowMillis);
        if (!isAllowed || !checks.tryAcquire()) {
            return form(TOO_MANY_REQUESTS, request.first("next"), kept, operator, "throttled");
        }
        boolean isRight;
        try {
            isRight = isRight(
                    operator,
                    request.fields().getOrDefault("password", List.of("")).get(0));
        } finally {
            checks.release();
        }
        if (!isRight) {
            throttle.failed(byName, nowMillis);
            throttle.failed(byClient, nowMillis);
            LOG.warn("[console] sign-in refused for a client at {}", request.client());
            return form(UNAUTHORIZED, request.first("next"), kept, operator, "wrong");
        }
        throttle.succeeded(byName);
        LOG.info("[console] operator {} signed in from {}", operator, request.client());
        return welcome(request, kept, tokens.start(operator, nowMillis));
    }

    private boolean isRight(String operator, String password) {
        String hash = settings.operators().get(operator);
        boolean matches = PasswordHash.matches(password, hash == null ? UNKNOWN_OPERATOR_HASH : hash);
        return hash != null && matches;
    }

    private ConsoleResponse welcome(ConsoleRequest request, Map<String, List<String>> kept, Session session) {
        String next = Console.localPath(request.first("next"));
        if (kept.isEmpty()) {
            return ConsoleResponse.seeOther(next).withCookie(tokens.cookie(session));
        }
        Map<String, List<String>> fields = new LinkedHashMap<>();
        kept.forEach((name, values) -> fields.put(name.substring(KEEP.length()), values));
        Model model = Model.of(new Visit(request, session, tokens.csrf(session), 0), "Welcome back")
                .with("kept", fields)
                .with("action", Console.formPath(next));
        return ConsoleResponse.html(200, pages.render("resume", model.values())).withCookie(tokens.cookie(session));
    }
}
