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

/** Routes requests to pages. All pages except the sign-in require a session, and all forms require its CSRF token. */
final class Console {
    static final String ROOT = "/console/";
    private static final Logger LOG = LogManager.getLogger(Console.class);

    private final SessionTokens tokens;
    private final PageRenderer renderer = new PageRenderer();
    private final LoginPages login;
    private final EditPages edits;
    private final HistoryPages history;

    Console(ConsoleSettings settings, BlockingStoreClient store, SecureRandom random) {
        tokens = new SessionTokens(settings.sessionSecret(), random);
        login = new LoginPages(settings, tokens, renderer);
        DocumentAccess documents = new DocumentAccess(store, random);
        edits = new EditPages(documents, renderer, random);
        history = new HistoryPages(documents, renderer);
    }

    ConsoleResponse handle(ConsoleRequest request, long nowMillis) {
        if (request.path().equals(ROOT + "style.css")) {
            return new ConsoleResponse(200, "text/css; charset=utf-8", PageRenderer.stylesheet(), null, null);
        }
        if (request.isPost() && request.isCrossSite()) {
            return errorResponse(ErrorKind.FORBIDDEN, "The request came from another site. Nothing was changed.");
        }
        if (request.path().equals(ROOT + "login") && request.isPost()) {
            return login.signIn(request, nowMillis);
        }
        Optional<Session> session = tokens.decode(request.cookie(), nowMillis);
        if (session.isEmpty()) {
            return login.showSignIn(request);
        }
        if (request.isPost() && !tokens.isCsrfTokenValid(session.get(), request.firstValue("csrf"))) {
            String text = "The form belongs to another session. Nothing was changed. Open the page again.";
            return errorResponse(ErrorKind.FORBIDDEN, text);
        }
        RequestContext context = new RequestContext(request, session.get(), tokens.csrfToken(session.get()), nowMillis);
        ConsoleResponse response = respond(context);
        Optional<Session> renewed = tokens.renewed(session.get(), nowMillis);
        return renewed.isPresent() && response.cookie() == null
                ? response.withCookie(tokens.encode(renewed.get()))
                : response;
    }

    private ConsoleResponse respond(RequestContext context) {
        try {
            return route(context);
        } catch (ServingException e) {
            LOG.warn("[console] {}: {}", context.request().path(), e.getMessage(), e);
            PageModel model = PageModel.of(context, title(e.kind()))
                    .with("message", e.getMessage())
                    .with("outcome", "Nothing was changed.")
                    .with("kept", context.request().isPost() ? context.request().fields() : null)
                    .with("action", formPath(context.request().path()));
            int status = ErrorResponses.of(e.kind()).httpStatus();
            return ConsoleResponse.html(status, renderer.render("failed", model.values()));
        }
    }

    private static String title(ErrorKind kind) {
        return kind == ErrorKind.STORE_UNAVAILABLE ? "The store does not answer" : "The page failed";
    }

    /** Returns an error page that shows no session data. */
    ConsoleResponse errorResponse(ErrorKind kind, String text) {
        PageModel model = PageModel.anonymous("Not possible").with("message", text);
        return ConsoleResponse.html(ErrorResponses.of(kind).httpStatus(), renderer.render("refused", model.values()));
    }

    private ConsoleResponse route(RequestContext context) {
        String path = context.request().path();
        if (!path.startsWith(ROOT)) {
            return ConsoleResponse.seeOther(ROOT);
        }
        List<String> parts = Arrays.asList(path.substring(ROOT.length()).split("/", -1));
        String first = parts.get(0);
        String second = parts.size() > 1 ? parts.get(1) : "";
        boolean isPost = context.request().isPost();
        if (first.isEmpty()) {
            return edits.overview(context);
        }
        if (first.equals("logout") && isPost) {
            return ConsoleResponse.seeOther(ROOT).withCookie("");
        }
        if (first.equals("history")) {
            return second.isEmpty() ? history.list(context) : history.version(context, second);
        }
        if (first.equals("audit")) {
            return history.events(context);
        }
        Optional<DocumentSection> section = DocumentSection.of(first);
        if (section.isEmpty()) {
            return errorResponse(ErrorKind.NOT_FOUND, "There is no such page.");
        }
        return isPost ? post(context, section.get(), second) : get(context, section.get(), second);
    }

    private ConsoleResponse get(RequestContext context, DocumentSection section, String name) {
        if (name.isEmpty() && section.isList()) {
            return edits.list(context, section);
        }
        return edits.open(context, section, name)
                .orElseGet(() -> errorResponse(ErrorKind.NOT_FOUND, "There is no such entry."));
    }

    private ConsoleResponse post(RequestContext context, DocumentSection section, String step) {
        return switch (step) {
            case "form" -> edits.form(context, section);
            case "review" -> edits.review(context, section);
            case "publish" -> edits.publish(context, section);
            default -> errorResponse(ErrorKind.NOT_FOUND, "There is no such step.");
        };
    }

    /** Returns a path of the console unchanged and the root for any other, which could redirect to another site. */
    static String localPath(String path) {
        return path.startsWith(ROOT) && path.matches("[A-Za-z0-9/._-]*") ? path : ROOT;
    }

    /** Returns the path that shows a form again with its input, given the path that the form was sent to. */
    static String formPath(String path) {
        List<String> parts =
                Arrays.asList(localPath(path).substring(ROOT.length()).split("/", -1));
        boolean isRollback = parts.get(0).equals("history") && parts.size() > 1;
        if (isRollback) {
            return ROOT + "history/" + parts.get(1);
        }
        return DocumentSection.of(parts.get(0)).isPresent() ? ROOT + parts.get(0) + "/form" : ROOT;
    }
}
