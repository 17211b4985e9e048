package io.hornbeamscale.console;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The values that the template of a page needs, by name. */
final class PageModel {
    private final Map<String, Object> values = new HashMap<>();

    private PageModel() {}

    /** Returns the model of a page for a signed-in operator. */
    static PageModel of(RequestContext context, String title) {
        return new PageModel()
                .with("title", title)
                .with("operator", context.session().operator())
                .with("csrf", context.csrfToken())
                .with("sections", DocumentSection.all());
    }

    /** Returns the model of a page that needs no session. */
    static PageModel anonymous(String title) {
        return new PageModel()
                .with("title", title)
                .with("operator", "")
                .with("csrf", "")
                .with("sections", List.of());
    }

    PageModel with(String name, Object value) {
        values.put(name, value);
        return this;
    }

    Map<String, Object> values() {
        return values;
    }
}
