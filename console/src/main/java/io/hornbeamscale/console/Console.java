package io.hornbeamscale.console;

import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ErrorResponses;
import io.hornbeamscale.core.error.ServingException;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** Routes requests to pages. Every page but the sign-in needs a session, and every form needs its CSRF token. */
final class Console {
    static final String ROOT = "/console/";
    private static final Logger LOG = LogManager.getLogger(Console.class);

    private final SessionTokens tokens;
    private final Pages pages = new Pages();
    private final LoginPages login;
    private final EditPages edits;
    private final HistoryPages history;

    Console(ConsoleSettings settings, BlockingStoreClient store, SecureRandom random) {
        tokens = new SessionTokens(settings.sessionSecret(), random);
        login = new LoginPages(settings, tokens, pages);
        DocumentAccess documents = new DocumentAccess(store, random);
        edits = new EditPages(documents, pages, random);
        history = new HistoryPages(documents, pages);
    }

    ConsoleResponse handle(ConsoleRequest request, long nowMillis) {
        if (request.path().equals(ROOT + "style.css")) {
            return new ConsoleResponse(200, "text/css; charset=utf-8", Pages.style(), null, null);
        }
        if (request.isPost() && request.isCrossSite()) {
            return refuse(ErrorKind.FORBIDDEN, "The request came from another site. Nothing was changed.");
        }
        if (request.path().equals(ROOT + "login") && request.isPost()) {
            return login.signIn(request, nowMillis);
        }
        Optional<Session> session = tokens.read(request.cookie(), nowMillis);
        if (session.isEmpty()) {
            return login.ask(request);
        }
        if (request.isPost() && !tokens.isCsrf(session.get(), request.first("csrf"))) {
            String text = "The form belongs to another session. Nothing was changed. Open the page again.";
            return refuse(ErrorKind.FORBIDDEN, text);
        }
        Visit visit = new Visit(request, session.get(), tokens.csrf(session.get()), nowMillis);
        ConsoleResponse response = answer(visit);
        Optional<Session> renewed = tokens.renewed(session.get(), nowMillis);
        return renewed.isPresent() && response.cookie() == null
                ? response.withCookie(tokens.cookie(renewed.get()))
                : response;
    }

    private ConsoleResponse answer(Visit visit) {
        try {
            return route(visit);
        } catch (ServingException e) {
            LOG.warn("[console] {}: {}", visit.request().path(), e.getMessage(), e);
            Model model = Model.of(visit, title(e.kind()))
                    .with("message", e.getMessage())
                    .with("outcome", "Nothing was changed.")
                    .with("kept", visit.request().isPost() ? visit.request().fields() : null)
                    .with("action", formPath(visit.request().path()));
            int status = ErrorResponses.of(e.kind()).httpStatus();
            return ConsoleResponse.html(status, pages.render("failed", model.values()));
        }
    }

    private static String title(ErrorKind kind) {
        return kind == ErrorKind.STORE_UNAVAILABLE ? "The store does not answer" : "The page failed";
    }

    /** Answers with an error page that shows no session data. */
    ConsoleResponse refuse(ErrorKind kind, String text) {
        Model model = Model.anonymous("Not possible").with("message", text);
        return ConsoleResponse.html(ErrorResponses.of(kind).httpStatus(), pages.render("refused", model.values()));
    }

    private ConsoleResponse route(Visit visit) {
        String path = visit.request().path();
        if (!path.startsWith(ROOT)) {
            return ConsoleResponse.seeOther(ROOT);
        }
        List<String> parts = Arrays.asList(path.substring(ROOT.length()).split("/", -1));
        String first = parts.get(0);
        String second = parts.size() > 1 ? parts.get(1) : "";
        boolean isPost = visit.request().isPost();
        if (first.isEmpty()) {
            return edits.overview(visit);
        }
        if (first.equals("logout") && isPost) {
            return ConsoleResponse.seeOther(ROOT).withCookie("");
        }
        if (first.equals("history")) {
            return second.isEmpty() ? history.list(visit) : history.version(visit, second);
        }
        if (first.equals("audit")) {
            return history.events(visit);
        }
        Optional<Section> section = Section.of(first);
        if (section.isEmpty()) {
            return refuse(ErrorKind.NOT_FOUND, "There is no such page.");
        }
        return isPost ? post(visit, section.get(), second) : get(visit, section.get(), second);
    }

    private ConsoleResponse get(Visit visit, Section section, String name) {
        if (name.isEmpty() && section.isList()) {
            return edits.list(visit, section);
        }
        return edits.open(visit, section, name).orElseGet(() -> refuse(ErrorKind.NOT_FOUND, "There is no such entry."));
    }

    private ConsoleResponse post(Visit visit, Section section, String step) {
        return switch (step) {
            case "form" -> edits.form(visit, section);
            case "review" -> edits.review(visit, section);
            case "publish" -> edits.publish(visit, section);
            default -> refuse(ErrorKind.NOT_FOUND, "There is no such step.");
        };
    }

    /** Returns a path of the console; anything else could lead an operator to another site. */
    static String localPath(String path) {
        return path.startsWith(ROOT) && path.matches("[A-Za-z0-9/._-]*") ? path : ROOT;
    }

    /** Returns the path that shows a form again with its fields, for the path that a form was sent to. */
    static String formPath(String path) {
        List<String> parts =
                Arrays.asList(localPath(path).substring(ROOT.length()).split("/", -1));
        boolean isRollback = parts.get(0).equals("history") && parts.size() > 1;
        if (isRollback) {
            return ROOT + "history/" + parts.get(1);
        }
        return Section.of(parts.get(0)).isPresent() ? ROOT + parts.get(0) + "/form" : ROOT;
    }
}
