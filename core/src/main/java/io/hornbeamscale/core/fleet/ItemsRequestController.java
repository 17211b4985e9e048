package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.store.StoreRevision;
import io.hornbeamscale.core.util.Arguments;

/**
 * Decides whether items of the store are requested from another entry. One request is under way at a time, since its
 * answer may be a large document on a narrow link. After a request without an answer, another entry is asked first. Not
 * safe for use by several threads.
 */
public final class ItemsRequestController {
    /**
     * How long an answer may take, in milliseconds. The largest one, a frame of a megabyte, takes 1.2 s at 7 Mbit/s.
     */
    static final long ANSWER_MILLIS = 2_000;

    /** How long an entry that did not answer is left out, in milliseconds, so that others are asked in between. */
    static final long RETRY_SAME_MILLIS = 1_000;

    private String askedNode;
    private StoreRevision askedRevision;
    private long askedAtMillis;
    private boolean isUnderWay;

    /**
     * Returns whether an entry may be asked now, and records the request if so.
     *
     * @param node the name of the entry, not null
     * @param afterRevision the revision after which items are requested, not null
     * @param nowMillis the present time
     * @return whether the request is to be sent
     */
    public boolean request(String node, StoreRevision afterRevision, long nowMillis) {
        Arguments.notNull(node, "node");
        long age = nowMillis - askedAtMillis;
        if (isUnderWay && age < ANSWER_MILLIS) {
            return false;
        }
        if (isUnderWay && node.equals(askedNode) && age < ANSWER_MILLIS + RETRY_SAME_MILLIS) {
            return false;
        }
        askedNode = node;
        askedRevision = afterRevision;
        askedAtMillis = nowMillis;
        isUnderWay = true;
        return true;
    }

    /** Records that the last request was not sent, so that the next one need not wait for its answer. */
    public void notSent() {
        isUnderWay = false;
    }

    /**
     * Records items that arrived from another entry.
     *
     * @param afterRevision the revision after which they contain changes, not null; other messages than the answer are
     *     ignored
     */
    public void received(StoreRevision afterRevision) {
        if (afterRevision.equals(askedRevision)) {
            isUnderWay = false;
        }
    }
}
