package io.hornbeamscale.console;

import freemarker.core.TemplateClassResolver;
import freemarker.template.Configuration;
import freemarker.template.TemplateException;
import freemarker.template.TemplateExceptionHandler;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.RunOutcome;
import io.hornbeamscale.core.error.ServingException;
import java.io.IOException;
import java.io.InputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** Renders the templates. Their names end in {@code .ftlh}, so that FreeMarker escapes every inserted text for HTML. */
final class PageRenderer {
    private static final String DIRECTORY = "/io/hornbeamscale/console/pages";

    private final Configuration configuration = new Configuration(Configuration.VERSION_2_3_34);

    PageRenderer() {
        configuration.setClassForTemplateLoading(PageRenderer.class, DIRECTORY);
        configuration.setDefaultEncoding("UTF-8");
        configuration.setNumberFormat("computer");
        configuration.setURLEscapingCharset("UTF-8");
        configuration.setTemplateExceptionHandler(TemplateExceptionHandler.RETHROW_HANDLER);
        configuration.setNewBuiltinClassResolver(TemplateClassResolver.ALLOWS_NOTHING_RESOLVER);
        configuration.setLogTemplateExceptions(false);
        configuration.setWrapUncheckedExceptions(true);
    }

    String render(String name, Map<String, ?> model) {
        StringWriter text = new StringWriter();
        try {
            configuration.getTemplate(name + ".ftlh").process(model, text);
        } catch (IOException | TemplateException e) {
            throw new ServingException(ErrorKind.INTERNAL, RunOutcome.UNKNOWN, "cannot render page " + name, e);
        }
        return text.toString();
    }

    static String stylesheet() {
        try (InputStream in = PageRenderer.class.getResourceAsStream(DIRECTORY + "/style.css")) {
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
