package io.hornbeamscale.core.distribute;

import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.id.RegionId;
import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Distributes document versions. Two nodes per region watch the store; in regions without the store they do so only
 * while no other region is heard, so that the paid link carries differences and no whole documents. A node that learns
 * a version announces it to a few peers by a digest; a peer that is behind asks for the difference.
 *
 * <p>A version that a node learned from the store comes into force there only once another node holds it, and a
 * starting node asks the store for its present revision, or else several holders for their versions. Together they keep
 * a node from coming back with an older version than it had. Not safe for use by several threads.
 */
public final class ConfigDistributor {
    /** How many random peers of the region hear of a new version from each node. */
    public static final int FANOUT = 4;

    /** How often a node sends its digest to one random peer of its region, in milliseconds. */
    public static final long DIGEST_PERIOD_MILLIS = 2_000;

    /** How often the sender of a region sends its digest to the other regions, in milliseconds. */
    public static final long LINK_PERIOD_MILLIS = 1_000;

    private static final long START_SPREAD_MILLIS = 2_000;
    private static final long START_ASK_MILLIS = 500;
    private static final long START_WAIT_MILLIS = 1_500;
    private static final long START_MAX_MILLIS = 5_000;
    private static final long START_READ_MILLIS = 3_000;
    private static final int START_ANSWERS = 3;
    private static final long CONFIRM_MILLIS = 2_000;
    private static final long CONFIRM_REPEAT_MILLIS = 250;
    private static final long WANT_MILLIS = 1_000;
    private static final long LINK_GRACE_MILLIS = 1_500;
    private static final long LINK_SILENCE_MILLIS = 5_000;
    private static final long WHOLE_WINDOW_MILLIS = 1_000;
    private static final int MAX_WHOLE_PER_WINDOW = 2;
    private static final int MAX_HISTORY = 8;

    private final boolean isStoreRegion;
    private final RandomGenerator random;
    private final PeerPlan plan;
    private final StoreSide store;
    private final VersionGate gate = new VersionGate();
    private final Deque<ConfigSnapshot> history = new ArrayDeque<>();
    private final Map<NodeId, ConfigMessage.Digest> better = new HashMap<>();
    private final Set<NodeId> startAnswers = new HashSet<>();
    private ConfigSnapshot held = ConfigSnapshot.EMPTY;
    private long startedMillis;
    private long verifiedMillis;
    private long nextAskMillis;
    private long nextDigestMillis;
    private long nextLinkMillis;
    private long nextConfirmMillis;
    private long confirmUntilMillis;
    private long wantUntilMillis;
    private long linkHeardMillis;
    private long behindLinkSinceMillis = -1;
    private long wholeWindowMillis;
    private int wholeInWindow;
    private boolean isUnconfirmed;

    /**
     * Creates a distributor for a node that knows no document.
     *
     * @param self the own node, not null
     * @param storeRegion the region of the store, not null
     * @param random the source of jitter and of the choice of peers, not null
     * @param nowMillis the present time
     */
    public ConfigDistributor(Peer self, RegionId storeRegion, RandomGenerator random, long nowMillis) {
        Arguments.notNull(self, "self");
        this.isStoreRegion = self.region().equals(Arguments.notNull(storeRegion, "storeRegion"));
        this.random = Arguments.notNull(random, "random");
        this.plan = new PeerPlan(self, random);
        this.store = new StoreSide(random);
        startedMillis = nowMillis;
        linkHeardMillis = nowMillis;
        nextDigestMillis = nowMillis + random.nextLong(DIGEST_PERIOD_MILLIS);
        store.delayFirst(nowMillis, START_SPREAD_MILLIS);
    }

    /**
     * Replaces the list of live peers.
     *
     * @param live the peers, with or without the own node, not null
     */
    public void peers(Collection<Peer> live) {
        plan.update(Arguments.notNull(live, "live"));
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 for none
     */
    public long versionInForce() {
        return gate.inForce();
    }

    /**
     * Returns whether the node has finished its start and can serve.
     *
     * @return whether versions can come into force
     */
    public boolean isStarted() {
        return gate.isOpen();
    }

    /**
     * Returns whether this node watches the store for its region.
     *
     * @return whether it is a watcher
     */
    public boolean isWatcher() {
        return plan.isWatcher();
    }

    /**
     * Checks what is due. Called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> tick(long nowMillis) {
        List<DistributeAction> actions = new ArrayList<>();
        if (gate.isOpen()) {
            watchIfNeeded(nowMillis, actions);
            awaitHolder(nowMillis, actions);
        } else {
            starting(nowMillis, actions);
        }
        wantIfBehind(nowMillis, actions);
        if (nowMillis >= nextDigestMillis) {
            nextDigestMillis = nowMillis + DIGEST_PERIOD_MILLIS / 2 + random.nextLong(DIGEST_PERIOD_MILLIS);
            sendDigest(plan.randomLocal(1), actions);
        }
        if (nowMillis >= nextLinkMillis && plan.isLinkSender()) {
            nextLinkMillis = nowMillis + LINK_PERIOD_MILLIS;
            sendDigest(plan.foreignWatchers(), actions);
        }
        return actions;
    }

    /**
     * Handles a message of a peer.
     *
     * @param from the peer, not null
     * @param message the message, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> received(NodeId from, ConfigMessage message, long nowMillis) {
        Arguments.notNull(from, "from");
        List<DistributeAction> actions = new ArrayList<>();
        if (plan.isForeign(from)) {
            linkHeardMillis = nowMillis;
        }
        if (Arguments.notNull(message, "message") instanceof ConfigMessage.Digest digest) {
            digest(from, digest, nowMillis, actions);
        } else if (message instanceof ConfigMessage.Want want) {
            answer(from, want.haveVersion(), nowMillis, actions);
        } else if (message instanceof ConfigMessage.Delta delta) {
            delta(from, delta.delta(), nowMillis, actions);
        } else if (message instanceof ConfigMessage.Whole whole) {
            learnFromPeer(from, whole.snapshot(), nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles the store's present revision of the document's key.
     *
     * @param revision the revision, 0 if the key is absent
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> storeRevision(long revision, long nowMillis) {
        List<DistributeAction> actions = new ArrayList<>();
        store.verified(revision);
        verifiedMillis = nowMillis;
        openIfSafe(nowMillis, actions);
        return actions;
    }

    /**
     * Handles a document from the store, from a read or a watch. It may be an older one.
     *
     * @param snapshot the document, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> storeValue(ConfigSnapshot snapshot, long nowMillis) {
        List<DistributeAction> actions = new ArrayList<>();
        boolean isOlder =
                Arguments.notNull(snapshot, "snapshot").revision() < Math.max(held.revision(), store.presentRevision());
        if (isOlder) {
            store.failed(nowMillis);
        } else {
            store.answered();
        }
        learn(snapshot, plan.hasLocalPeers(), nowMillis, actions);
        return actions;
    }

    /**
     * Handles a document that this process has just published.
     *
     * @param snapshot the document, not null
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> published(ConfigSnapshot snapshot, long nowMillis) {
        List<DistributeAction> actions = new ArrayList<>();
        learn(Arguments.notNull(snapshot, "snapshot"), plan.hasLocalPeers(), nowMillis, actions);
        return actions;
    }

    /**
     * Handles a watch that ended without a change.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> storeUnchanged(long nowMillis) {
        store.answered();
        return tick(nowMillis);
    }

    /**
     * Handles a store that did not answer.
     *
     * @param nowMillis the present time
     * @return the actions to carry out
     */
    public List<DistributeAction> storeFailed(long nowMillis) {
        List<DistributeAction> actions = new ArrayList<>();
        store.failed(nowMillis);
        openIfSafe(nowMillis, actions);
        return actions;
    }

    private void starting(long nowMillis, List<DistributeAction> actions) {
        if (nowMillis >= nextAskMillis) {
            nextAskMillis = nowMillis + START_ASK_MILLIS;
            Set<NodeId> asked = new HashSet<>(plan.holders());
            asked.addAll(plan.randomLocal(1));
            ConfigMessage ask = new ConfigMessage.Digest(held.version(), held.revision(), true);
            asked.forEach(peer -> actions.add(new DistributeAction.Send(peer, ask)));
        }
        openIfSafe(nowMillis, actions);
        if (gate.isOpen()) {
            return;
        }
        if (!store.isVerified()) {
            store.check(nowMillis, actions);
        } else if (nowMillis >= wantUntilMillis && (plan.isHolder() || hasWaitedForPeers(nowMillis))) {
            store.read(nowMillis, actions);
        }
    }

    /** Only the holders read the store at once; 360 whole documents at a time would exceed what the store can send. */
    private boolean hasWaitedForPeers(long nowMillis) {
        return nowMillis - verifiedMillis >= START_READ_MILLIS;
    }

    private void openIfSafe(long nowMillis, List<DistributeAction> actions) {
        if (gate.isOpen() || !isSafeToOpen(nowMillis)) {
            return;
        }
        gate.open();
        if (held.version() > 0) {
            applyOrConfirm(nowMillis, actions);
            announce(actions);
        }
    }

    private boolean isSafeToOpen(long nowMillis) {
        if (held.version() < gate.floor()) {
            return false;
        }
        if (store.isVerified()) {
            return held.revision() >= store.presentRevision();
        }
        if (!store.hasFailed() || held.version() == 0) {
            return false;
        }
        long waited = nowMillis - startedMillis;
        int needed = Math.min(START_ANSWERS, plan.holders().size());
        boolean isQuorum = startAnswers.size() >= needed && waited >= START_WAIT_MILLIS;
        return isQuorum || waited >= START_MAX_MILLIS;
    }

    private void watchIfNeeded(long nowMillis, List<DistributeAction> actions) {
        boolean isLinkSilent = nowMillis - linkHeardMillis >= LINK_SILENCE_MILLIS;
        if (plan.isWatcher() && (isStoreRegion || isLinkSilent)) {
            store.watch(held.revision(), nowMillis, actions);
        }
    }

    private void awaitHolder(long nowMillis, List<DistributeAction> actions) {
        if (!isUnconfirmed) {
            return;
        }
        if (nowMillis >= confirmUntilMillis) {
            applyHeld(actions);
        } else if (nowMillis >= nextConfirmMillis) {
            nextConfirmMillis = nowMillis + CONFIRM_REPEAT_MILLIS;
            sendDigest(plan.holders(), actions);
        }
    }

    private void digest(NodeId from, ConfigMessage.Digest digest, long nowMillis, List<DistributeAction> actions) {
        gate.raiseFloor(digest.version());
        if (!gate.isOpen() && !digest.isStarting()) {
            startAnswers.add(from);
        }
        if (digest.version() > held.version()) {
            better.put(from, digest);
            if (isLinkBackup(from) && behindLinkSinceMillis < 0) {
                behindLinkSinceMillis = nowMillis;
            }
            wantIfBehind(nowMillis, actions);
        } else if (digest.version() == held.version()) {
            confirmed(actions);
        } else if (!digest.isStarting() && !isLinkBackup(from)) {
            answer(from, digest.version(), nowMillis, actions);
        }
        if (digest.isStarting()) {
            sendDigest(List.of(from), actions);
        }
        openIfSafe(nowMillis, actions);
    }

    private void confirmed(List<DistributeAction> actions) {
        boolean isWaiting = isUnconfirmed && gate.isOpen();
        isUnconfirmed = false;
        if (isWaiting) {
            applyHeld(actions);
        }
    }

    /** The second watcher of a region leaves the paid link to the first for a while. */
    private boolean isLinkBackup(NodeId from) {
        return plan.isForeign(from) && !plan.isLinkSender();
    }

    private void wantIfBehind(long nowMillis, List<DistributeAction> actions) {
        better.values().removeIf(d -> d.version() <= held.version());
        if (better.isEmpty() || nowMillis < wantUntilMillis) {
            return;
        }
        boolean isLinkAllowed = plan.isLinkSender()
                || (behindLinkSinceMillis >= 0 && nowMillis - behindLinkSinceMillis >= LINK_GRACE_MILLIS);
        List<NodeId> candidates = better.keySet().stream()
                .filter(n -> isLinkAllowed || !plan.isForeign(n))
                .sorted((a, b) -> a.value().compareTo(b.value()))
                .toList();
        if (candidates.isEmpty()) {
            return;
        }
        NodeId chosen = candidates.get(random.nextInt(candidates.size()));
        better.remove(chosen);
        wantUntilMillis = nowMillis + WANT_MILLIS;
        actions.add(new DistributeAction.Send(chosen, new ConfigMessage.Want(held.version())));
    }

    private void answer(NodeId to, long haveVersion, long nowMillis, List<DistributeAction> actions) {
        if (haveVersion >= held.version()) {
            return;
        }
        for (ConfigSnapshot old : history) {
            if (old.version() == haveVersion && haveVersion > 0) {
                ConfigDelta delta = ConfigDelta.between(old, held);
                actions.add(new DistributeAction.Send(to, new ConfigMessage.Delta(delta)));
                return;
            }
        }
        // Without this limit, nodes that recover together would all draw whole documents from the first one.
        if (nowMillis - wholeWindowMillis >= WHOLE_WINDOW_MILLIS) {
            wholeWindowMillis = nowMillis;
            wholeInWindow = 0;
        }
        if (wholeInWindow < MAX_WHOLE_PER_WINDOW) {
            wholeInWindow++;
            actions.add(new DistributeAction.Send(to, new ConfigMessage.Whole(held)));
        }
    }

    private void delta(NodeId from, ConfigDelta delta, long nowMillis, List<DistributeAction> actions) {
        if (delta.toVersion() <= held.version()) {
            return;
        }
        delta.applyTo(held).ifPresentOrElse(result -> learnFromPeer(from, result, nowMillis, actions), () -> {
            long have = delta.fromVersion() == held.version() ? 0 : held.version();
            wantUntilMillis = nowMillis + WANT_MILLIS;
            actions.add(new DistributeAction.Send(from, new ConfigMessage.Want(have)));
        });
    }

    private void learnFromPeer(NodeId from, ConfigSnapshot snapshot, long nowMillis, List<DistributeAction> actions) {
        learn(snapshot, false, nowMillis, actions);
        sendDigest(List.of(from), actions);
    }

    private void learn(ConfigSnapshot snapshot, boolean needsHolder, long nowMillis, List<DistributeAction> actions) {
        if (snapshot.version() <= held.version()) {
            openIfSafe(nowMillis, actions);
            return;
        }
        history.addFirst(held);
        if (history.size() > MAX_HISTORY) {
            history.removeLast();
        }
        held = snapshot;
        isUnconfirmed = needsHolder;
        wantUntilMillis = nowMillis;
        behindLinkSinceMillis = -1;
        if (!gate.isOpen()) {
            openIfSafe(nowMillis, actions);
            return;
        }
        applyOrConfirm(nowMillis, actions);
        announce(actions);
    }

    private void applyOrConfirm(long nowMillis, List<DistributeAction> actions) {
        if (!isUnconfirmed) {
            applyHeld(actions);
            return;
        }
        confirmUntilMillis = nowMillis + CONFIRM_MILLIS;
        nextConfirmMillis = nowMillis + CONFIRM_REPEAT_MILLIS;
        sendDigest(plan.holders(), actions);
    }

    private void applyHeld(List<DistributeAction> actions) {
        isUnconfirmed = false;
        if (gate.tryApply(held.version())) {
            actions.add(new DistributeAction.Apply(held));
        }
    }

    private void announce(List<DistributeAction> actions) {
        sendDigest(plan.randomLocal(FANOUT), actions);
        if (plan.isLinkSender()) {
            sendDigest(plan.foreignWatchers(), actions);
        }
    }

    private void sendDigest(List<NodeId> peers, List<DistributeAction> actions) {
        ConfigMessage digest = new ConfigMessage.Digest(held.version(), held.revision(), false);
        peers.forEach(peer -> actions.add(new DistributeAction.Send(peer, digest)));
    }
}
