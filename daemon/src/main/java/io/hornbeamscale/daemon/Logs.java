package io.hornbeamscale.daemon;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/** Sets up log lines. The name of a logger is its component, which appears as the prefix. */
final class Logs {
    private static final String PATTERN = "%d{ISO8601} %-5level [%c{1}] %msg%n%throwable";

    /** The lines that may wait for the standard output stream; more are dropped. */
    private static final int QUEUED_LINES = 1024;

    private static final List<String> QUIET = List.of("io.undertow", "org.xnio", "org.jboss");

    private Logs() {}

    /** Logs errors only. */
    static void quiet() {
        configure("text", Level.ERROR);
        Configurator.setLevel("org.xnio.listener", Level.OFF);
    }

    /** Logs to the standard error stream, as {@code text} or as {@code json}. */
    static void configure(String form) {
        configure(form, Level.INFO);
    }

    /** Logs decisions to the standard output stream as JSON, through a queue that drops lines rather than blocks. */
    static void decisions() {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.add(builder.newAppender("console", "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .add(builder.newLayout("JsonTemplateLayout")
                        .addAttribute("eventTemplateUri", "classpath:decisions.json")));
        builder.add(builder.newAppender("queue", "Async")
                .addAttribute("blocking", false)
                .addAttribute("bufferSize", QUEUED_LINES)
                .addComponent(builder.newAppenderRef("console")));
        builder.setShutdownHook("disable");
        for (String quiet : QUIET) {
            builder.add(builder.newLogger(quiet, Level.ERROR));
        }
        builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef("queue")));
        Configurator.reconfigure(builder.build(false));
    }

    private static void configure(String form, Level level) {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        AppenderComponentBuilder appender =
                builder.newAppender("console", "Console").addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR);
        if (form.equals("json")) {
            appender.add(builder.newLayout("JsonTemplateLayout")
                    .addAttribute("eventTemplateUri", "classpath:EcsLayout.json"));
        } else {
            appender.add(builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN));
        }
        builder.add(appender);
        // Log lines are needed until the graceful stop ends.
        builder.setShutdownHook("disable");
        for (String quiet : QUIET) {
            builder.add(builder.newLogger(quiet, Level.ERROR));
        }
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef("console")));
        Configurator.reconfigure(builder.build(false));
    }
}
