package io.hornbeamscale.core.audit;

import io.hornbeamscale.core.util.Arguments;

/**
 * Something that happened outside of publishing.
 *
 * @param kind what happened
 * @param node the node that reports it
 * @param wallMillis the wall-clock time, in milliseconds since 1970
 * @param subject what it happened to, such as a backend server or a request
 * @param text details
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
        /** A request was quarantined for crashing engines, or cleared. */
        QUARANTINE,
        /** Events were dropped while the store was down. */
        DROPPED
    }

    // Long texts are cut, since events share 1 MB values.
    private static final int MAX_TEXT_CHARS = 300;

    /** Checks the parts and cuts long texts. */
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
