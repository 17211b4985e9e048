package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Receives document versions from nodes that distribute them, without calling the store. An agent follows the entries
 * that are connected to it. After its start it waits until it has heard from several of them, or for a limited time, so
 * that a single outdated entry does not bring it back to an older version than it had before a restart. A version that
 * is not replicated is ignored and requested again. Not thread-safe.
 */
public final class VersionFollower {
    /** How long a starting node collects the versions of its sources before it applies one, in milliseconds. */
    public static final long START_WAIT_MILLIS = 1_500;

    private static final int START_SOURCES = 3;
    private static final long WANT_REPEAT_MILLIS = 1_000;

    private final VersionGate gate = new VersionGate();
    private final Map<NodeId, Long> sources = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));
    private final Set<NodeId> asked = new HashSet<>();
    private ConfigSnapshot held = ConfigSnapshot.EMPTY;
    private long firstHeardMillis = -1;
    private long nextWantMillis = Long.MIN_VALUE;

    /** Creates a follower without a document. */
    public VersionFollower() {}

    /**
     * Returns the version in force.
     *
     * @return the version, 0 for none
     */
    public long versionInForce() {
        return gate.versionInForce();
    }

    /**
     * Returns the highest version that the node holds or that a connected source has reported.
     *
     * @return the version, 0 for none
     */
    public long newestKnown() {
        long newest = held.version();
        for (long version : sources.values()) {
            newest = Math.max(newest, version);
        }
        return newest;
    }

    /**
     * Handles a message from a source.
     *
     * @param from the source, not null
     * @param message the message, not null; a request for a document is ignored
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> received(NodeId from, ConfigMessage message, long nowMillis) {
        Arguments.notNull(from, "from");
        List<DistributionAction> actions = new ArrayList<>();
        if (Arguments.notNull(message, "message") instanceof ConfigMessage.Digest digest) {
            heard(from, digest.version(), nowMillis);
        } else if (message instanceof ConfigMessage.Whole whole && whole.isReplicated()) {
            holdIfNewer(from, whole.snapshot(), nowMillis);
        } else if (message instanceof ConfigMessage.Delta delta && delta.isReplicated()) {
            delta.delta().applyTo(held).ifPresent(snapshot -> holdIfNewer(from, snapshot, nowMillis));
        }
        decide(nowMillis, actions);
        return actions;
    }

    /**
     * Removes a source that is no longer connected. The version that it reported remains the lower bound for the first
     * version to apply.
     *
     * @param source the source, not null
     */
    public void lost(NodeId source) {
        sources.remove(Arguments.notNull(source, "source"));
        asked.remove(source);
    }

    /**
     * Performs the actions that are due. Must be called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> tick(long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        decide(nowMillis, actions);
        return actions;
    }

    private void heard(NodeId from, long version, long nowMillis) {
        sources.put(from, version);
        gate.raiseFloor(version);
        if (firstHeardMillis < 0) {
            firstHeardMillis = nowMillis;
        }
    }

    private void holdIfNewer(NodeId from, ConfigSnapshot snapshot, long nowMillis) {
        heard(from, snapshot.version(), nowMillis);
        if (snapshot.version() > held.version()) {
            held = snapshot;
            nextWantMillis = nowMillis;
        }
    }

    private void decide(long nowMillis, List<DistributionAction> actions) {
        boolean hasWaited = firstHeardMillis >= 0 && nowMillis - firstHeardMillis >= START_WAIT_MILLIS;
        if (sources.size() >= START_SOURCES || hasWaited) {
            gate.open();
        }
        if (held.version() > gate.versionInForce() && gate.tryApply(held.version())) {
            actions.add(new DistributionAction.Apply(held));
        }
        if (nowMillis >= nextWantMillis) {
            requestNewer(nowMillis, actions);
        }
    }

    /** Requests the document from the sources of newer versions in turn, since one of them may not reply. */
    private void requestNewer(long nowMillis, List<DistributionAction> actions) {
        List<NodeId> newerSources = sources.entrySet().stream()
                .filter(source -> source.getValue() > held.version())
                .map(Map.Entry::getKey)
                .toList();
        if (newerSources.isEmpty()) {
            asked.clear();
            return;
        }
        if (asked.containsAll(newerSources)) {
            asked.clear();
        }
        NodeId next = newerSources.stream()
                .filter(source -> !asked.contains(source))
                .findFirst()
                .orElseThrow();
        asked.add(next);
        nextWantMillis = nowMillis + WANT_REPEAT_MILLIS;
        actions.add(new DistributionAction.Send(next, new ConfigMessage.Want(held.version())));
    }
}
