package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.util.Arguments;

/**
 * An event outside of publishing that operators may want to trace.
 *
 * @param kind what happened
 * @param node the node that reports the event
 * @param wallMillis the wall-clock time, in milliseconds since 1970
 * @param subject the object of the event, such as a backend server or a request; null becomes empty
 * @param text the details; null becomes empty
 */
public record AuditEvent(Kind kind, String node, long wallMillis, String subject, String text) {
    /** The kinds of events. */
    public enum Kind {
        /** A process started. */
        RESTART,
        /** A process or VM stopped taking new work. */
        DRAIN,
        /** An engine received a command. */
        ENGINE_COMMAND,
        /** A request was quarantined because it crashed engines, or was released. */
        QUARANTINE,
        /** Events were dropped while the store was unavailable. */
        DROPPED
    }

    // Longer texts are cut, since many events share one value of the store, which has at most 1 MB.
    private static final int MAX_TEXT_CHARS = 300;

    /** Checks the components, cuts long texts and replaces null texts by empty ones. */
    public AuditEvent {
        Arguments.notNull(kind, "kind");
        Arguments.notBlank(node, "node");
        subject = cut(subject);
        text = cut(text);
    }

    private static String cut(String text) {
        if (text == null) {
            return "";
        }
        return text.length() <= MAX_TEXT_CHARS ? text : text.substring(0, MAX_TEXT_CHARS);
    }
}
