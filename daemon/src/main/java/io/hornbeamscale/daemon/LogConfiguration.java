package io.hornbeamscale.daemon;

import java.util.List;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.builder.api.AppenderComponentBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilder;
import org.apache.logging.log4j.core.config.builder.api.ConfigurationBuilderFactory;
import org.apache.logging.log4j.core.config.builder.impl.BuiltConfiguration;

/** Configures logging. A logger is named after its component, which appears as the prefix of its lines. */
final class LogConfiguration {
    private static final String PATTERN = "%d{ISO8601} %-5level [%c{1}] %msg%n%throwable";

    /** The maximum number of lines queued for the standard output stream; further lines are dropped. */
    private static final int MAX_QUEUED_LINES = 1024;

    private static final List<String> LIBRARY_LOGGERS = List.of("io.undertow", "org.xnio", "org.jboss");

    private LogConfiguration() {}

    /** Logs errors only, to the standard error stream. */
    static void configureErrorsOnly() {
        configure("text", Level.ERROR);
        Configurator.setLevel("org.xnio.listener", Level.OFF);
    }

    /**
     * Logs to the standard error stream.
     *
     * @param format the format of lines, {@code json} or {@code text}
     */
    static void configure(String format) {
        configure(format, Level.INFO);
    }

    /**
     * Logs decisions to the standard output stream as JSON, through a queue that drops lines instead of blocking when
     * full.
     */
    static void configureDecisionLog() {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        builder.add(builder.newAppender("console", "Console")
                .addAttribute("target", ConsoleAppender.Target.SYSTEM_OUT)
                .add(builder.newLayout("JsonTemplateLayout")
                        .addAttribute("eventTemplateUri", "classpath:decisions.json")));
        builder.add(builder.newAppender("queue", "Async")
                .addAttribute("blocking", false)
                .addAttribute("bufferSize", MAX_QUEUED_LINES)
                .addComponent(builder.newAppenderRef("console")));
        builder.setShutdownHook("disable");
        for (String library : LIBRARY_LOGGERS) {
            builder.add(builder.newLogger(library, Level.ERROR));
        }
        builder.add(builder.newRootLogger(Level.INFO).add(builder.newAppenderRef("queue")));
        Configurator.reconfigure(builder.build(false));
    }

    private static void configure(String format, Level level) {
        ConfigurationBuilder<BuiltConfiguration> builder = ConfigurationBuilderFactory.newConfigurationBuilder();
        AppenderComponentBuilder appender =
                builder.newAppender("console", "Console").addAttribute("target", ConsoleAppender.Target.SYSTEM_ERR);
        if (format.equals("json")) {
            appender.add(builder.newLayout("JsonTemplateLayout")
                    .addAttribute("eventTemplateUri", "classpath:EcsLayout.json"));
        } else {
            appender.add(builder.newLayout("PatternLayout").addAttribute("pattern", PATTERN));
        }
        builder.add(appender);
        // Log4j's own shutdown hook would end logging before the graceful stop is over.
        builder.setShutdownHook("disable");
        for (String library : LIBRARY_LOGGERS) {
            builder.add(builder.newLogger(library, Level.ERROR));
        }
        builder.add(builder.newRootLogger(level).add(builder.newAppenderRef("console")));
        Configurator.reconfigure(builder.build(false));
    }
}
