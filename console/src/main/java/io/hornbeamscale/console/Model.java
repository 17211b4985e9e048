package io.hornbeamscale.console;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Collects the values of one page. */
final class Model {
    private final Map<String, Object> values = new HashMap<>();

    private Model() {}

    /** Starts the model of a page for a signed-in operator. */
    static Model of(Visit visit, String title) {
        return new Model()
                .with("title", title)
                .with("operator", visit.session().operator())
                .with("csrf", visit.csrf())
                .with("sections", Section.list());
    }

    /** Starts the model of a page for everybody. */
    static Model anonymous(String title) {
        return new Model()
                .with("title", title)
                .with("operator", "")
                .with("csrf", "")
                .with("sections", List.of());
    }

    Model with(String name, Object value) {
        values.put(name, value);
        return this;
    }

    Map<String, Object> values() {
        return values;
    }
}
