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
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Distributes document versions by gossip. Two nodes per region watch the store; in regions without the store they do
 * so only while nothing is received from other regions, so that the paid link carries differences instead of whole
 * documents. A node that receives a new version announces it to a few peers with a digest; a peer with an older version
 * requests the difference.
 *
 * <p>A version comes into force in a region only once it is replicated, which means that enough replicas hold a copy. A
 * starting node asks the store for its current revision or, if the store is not available, enough replicas for their
 * versions. Together these rules prevent a restarted node from applying an older version than it had before. Not
 * thread-safe.
 */
public final class ConfigDistributor {
    /** How many random peers of the region each node informs of a new version. */
    public static final int FANOUT = 4;

    /** How often a node sends its digest to one random peer of its region, in milliseconds. */
    public static final long DIGEST_PERIOD_MILLIS = 2_000;

    /** How often the link sender of a region sends its digest to the other regions, in milliseconds. */
    public static final long LINK_PERIOD_MILLIS = 1_000;

    private static final long START_SPREAD_MILLIS = 2_000;
    private static final long START_ASK_PERIOD_MILLIS = 500;
    private static final long START_READ_DELAY_MILLIS = 3_000;
    private static final long WANT_REPEAT_MILLIS = 1_000;
    private static final long LINK_BACKUP_DELAY_MILLIS = 1_500;
    private static final long LINK_SILENCE_MILLIS = 5_000;
    private static final long WHOLE_WINDOW_MILLIS = 1_000;
    private static final int MAX_WHOLE_PER_WINDOW = 2;
    private static final int MAX_HISTORY_VERSIONS = 8;

    private final boolean isStoreRegion;
    private final RandomGenerator random;
    private final PeerRanking ranking;
    private final StoreCallSchedule storeCalls;
    private final VersionGate gate = new VersionGate();
    private final ReplicationTracker replication = new ReplicationTracker();
    private final Deque<ConfigSnapshot> history = new ArrayDeque<>();
    private final Map<NodeId, ConfigMessage.Digest> newerDigests = new HashMap<>();
    private final Set<NodeId> startReplies = new HashSet<>();
    private ConfigSnapshot held = ConfigSnapshot.EMPTY;
    private long revisionConfirmedMillis;
    private long nextAskMillis;
    private long nextDigestMillis;
    private long nextLinkMillis;
    private long nextWantMillis;
    private long linkHeardMillis;
    private long behindLinkSinceMillis = -1;
    private long wholeWindowMillis;
    private int wholeInWindow;
    private boolean hasPeers;

    /**
     * Creates a distributor without a document.
     *
     * @param self the local node, not null
     * @param storeRegion the region of the store, not null
     * @param random the random source for jitter and for the choice of peers, not null
     * @param nowMillis the current time in milliseconds
     */
    public ConfigDistributor(ConfigPeer self, RegionId storeRegion, RandomGenerator random, long nowMillis) {
        Arguments.notNull(self, "self");
        this.isStoreRegion = self.region().equals(Arguments.notNull(storeRegion, "storeRegion"));
        this.random = Arguments.notNull(random, "random");
        this.ranking = new PeerRanking(self, random);
        this.storeCalls = new StoreCallSchedule(random);
        linkHeardMillis = nowMillis;
        nextDigestMillis = nowMillis + random.nextLong(DIGEST_PERIOD_MILLIS);
        storeCalls.delayFirstCall(nowMillis, START_SPREAD_MILLIS);
    }

    /**
     * Replaces the list of live peers. No version comes into force before the first call, even if the list is empty.
     *
     * @param live the peers, with or without the local node, not null
     */
    public void updatePeers(Collection<ConfigPeer> live) {
        ranking.update(Arguments.notNull(live, "live"));
        newerDigests.keySet().removeIf(peer -> !ranking.isKnown(peer));
        hasPeers = true;
    }

    /**
     * Returns the version in force.
     *
     * @return the version, 0 for none
     */
    public long versionInForce() {
        return gate.versionInForce();
    }

    /**
     * Returns whether the node has finished its startup and can serve requests.
     *
     * @return true if versions can come into force
     */
    public boolean isStarted() {
        return gate.isOpen();
    }

    /**
     * Returns whether this node watches the store for its region.
     *
     * @return true if this node is a watcher
     */
    public boolean isWatcher() {
        return ranking.isWatcher();
    }

    /**
     * Performs the actions that are due. Must be called every few tens to hundreds of milliseconds.
     *
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> tick(long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        if (gate.isOpen()) {
            watchIfNeeded(nowMillis, actions);
        } else {
            continueStart(nowMillis, actions);
        }
        checkReplication(nowMillis, actions);
        requestIfBehind(nowMillis, actions);
        if (nowMillis >= nextDigestMillis) {
            nextDigestMillis = nowMillis + DIGEST_PERIOD_MILLIS / 2 + random.nextLong(DIGEST_PERIOD_MILLIS);
            sendDigest(ranking.randomLocal(1), false, actions);
        }
        if (nowMillis >= nextLinkMillis && ranking.isLinkSender()) {
            nextLinkMillis = nowMillis + LINK_PERIOD_MILLIS;
            sendDigest(ranking.remoteWatchers(), false, actions);
        }
        return actions;
    }

    /**
     * Handles a message from a peer.
     *
     * @param from the peer, not null
     * @param message the message, not null
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> received(NodeId from, ConfigMessage message, long nowMillis) {
        Arguments.notNull(from, "from");
        List<DistributionAction> actions = new ArrayList<>();
        if (ranking.isRemote(from)) {
            linkHeardMillis = nowMillis;
        }
        if (Arguments.notNull(message, "message") instanceof ConfigMessage.Digest digest) {
            digestReceived(from, digest, nowMillis, actions);
        } else if (message instanceof ConfigMessage.Want want) {
            sendNewer(from, want.haveVersion(), nowMillis, actions);
        } else if (message instanceof ConfigMessage.Delta delta) {
            deltaReceived(from, delta, nowMillis, actions);
        } else if (message instanceof ConfigMessage.Whole whole) {
            learnFromPeer(from, whole.snapshot(), whole.isReplicated(), nowMillis, actions);
        }
        return actions;
    }

    /**
     * Handles the current revision of the document's key in the store.
     *
     * @param revision the revision, 0 if the key is absent
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> storeRevisionRead(long revision, long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        storeCalls.revisionConfirmed(revision);
        revisionConfirmedMillis = nowMillis;
        openIfSafe(actions);
        return actions;
    }

    /**
     * Handles a document that a read or a watch returned from the store. It may be outdated.
     *
     * @param snapshot the document, not null
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> storeValueRead(ConfigSnapshot snapshot, long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        boolean isOlder = Arguments.notNull(snapshot, "snapshot").revision()
                < Math.max(held.revision(), storeCalls.confirmedRevision());
        if (isOlder) {
            storeCalls.failed(nowMillis);
        } else {
            storeCalls.replied();
        }
        learn(snapshot, false, nowMillis, actions);
        return actions;
    }

    /**
     * Handles a document that this process has published.
     *
     * @param snapshot the document, not null
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> published(ConfigSnapshot snapshot, long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        learn(Arguments.notNull(snapshot, "snapshot"), false, nowMillis, actions);
        return actions;
    }

    /**
     * Handles a watch that ended without a change.
     *
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> storeUnchanged(long nowMillis) {
        storeCalls.replied();
        return tick(nowMillis);
    }

    /**
     * Handles a call to which the store did not reply.
     *
     * @param nowMillis the current time in milliseconds
     * @return the actions to carry out, never null
     */
    public List<DistributionAction> storeFailed(long nowMillis) {
        List<DistributionAction> actions = new ArrayList<>();
        storeCalls.failed(nowMillis);
        openIfSafe(actions);
        return actions;
    }

    private void continueStart(long nowMillis, List<DistributionAction> actions) {
        if (nowMillis >= nextAskMillis) {
            nextAskMillis = nowMillis + START_ASK_PERIOD_MILLIS;
            Set<NodeId> asked = new HashSet<>(ranking.replicas());
            asked.addAll(ranking.randomLocal(1));
            sendDigest(asked, true, actions);
        }
        openIfSafe(actions);
        if (gate.isOpen()) {
            return;
        }
        if (!storeCalls.hasConfirmedRevision()) {
            storeCalls.check(nowMillis, actions);
        } else if (nowMillis >= nextWantMillis && (ranking.isReplica() || hasWaitedForPeers(nowMillis))) {
            storeCalls.read(nowMillis, actions);
        }
    }

    /**
     * Only the replicas read the store immediately; 360 whole documents at the same time would exceed the store's
     * bandwidth. The other nodes wait for their peers first.
     */
    private boolean hasWaitedForPeers(long nowMillis) {
        return nowMillis - revisionConfirmedMillis >= START_READ_DELAY_MILLIS;
    }

    private void openIfSafe(List<DistributionAction> actions) {
        if (gate.isOpen() || !isSafeToOpen()) {
            return;
        }
        gate.open();
        if (replication.isReplicated()) {
            applyHeld(actions);
        }
    }

    private boolean isSafeToOpen() {
        if (!hasPeers || held.version() < gate.floor()) {
            return false;
        }
        if (storeCalls.hasConfirmedRevision()) {
            return held.revision() >= storeCalls.confirmedRevision();
        }
        List<NodeId> replicas = ranking.replicas();
        long replies = replicas.stream().filter(startReplies::contains).count();
        return storeCalls.hasFailed() && held.version() > 0 && replies >= ReplicationTracker.requiredCopies(replicas);
    }

    private void watchIfNeeded(long nowMillis, List<DistributionAction> actions) {
        boolean isLinkSilent = nowMillis - linkHeardMillis >= LINK_SILENCE_MILLIS;
        if (ranking.isWatcher() && (isStoreRegion || isLinkSilent)) {
            storeCalls.watch(held.revision(), nowMillis, actions);
        }
    }

    private void checkReplication(long nowMillis, List<DistributionAction> actions) {
        if (replication.isReplicated() || !hasPeers) {
            return;
        }
        if (replication.hasEnoughCopies(ranking.replicas())) {
            markReplicated(actions);
        } else if (replication.isDue(ranking.isWatcher(), nowMillis)) {
            sendDigest(ranking.replicas(), true, actions);
        }
    }

    private void markReplicated(List<DistributionAction> actions) {
        replication.markReplicated();
        if (gate.isOpen()) {
            applyHeld(actions);
        }
    }

    private void digestReceived(
            NodeId from, ConfigMessage.Digest digest, long nowMillis, List<DistributionAction> actions) {
        gate.raiseFloor(digest.version());
        if (!gate.isOpen() && digest.isStarted()) {
            startReplies.add(from);
        }
        if (digest.version() > held.version()) {
            newerDigests.put(from, digest);
            if (isLinkBackup(from) && behindLinkSinceMillis < 0) {
                behindLinkSinceMillis = nowMillis;
            }
            requestIfBehind(nowMillis, actions);
        } else if (digest.version() == held.version()) {
            sameVersionReceived(from, digest.isReplicated(), nowMillis, actions);
        } else if (digest.isStarted() && !isLinkBackup(from)) {
            sendNewer(from, digest.version(), nowMillis, actions);
        }
        if (digest.wantsReply()) {
            sendDigest(List.of(from), false, actions);
        }
        openIfSafe(actions);
    }

    private void sameVersionReceived(
            NodeId from, boolean isReplicated, long nowMillis, List<DistributionAction> actions) {
        replication.addCopy(from);
        if (!replication.isReplicated() && isReplicated && !ranking.isRemote(from)) {
            markReplicated(actions);
        }
        checkReplication(nowMillis, actions);
    }

    /**
     * Returns whether a message came over the paid link to a node other than the link sender. Such a node uses the link
     * only if the link sender has not delivered the version in time.
     */
    private boolean isLinkBackup(NodeId from) {
        return ranking.isRemote(from) && !ranking.isLinkSender();
    }

    private void requestIfBehind(long nowMillis, List<DistributionAction> actions) {
        newerDigests.values().removeIf(d -> d.version() <= held.version());
        if (newerDigests.isEmpty() || nowMillis < nextWantMillis) {
            return;
        }
        boolean isLinkAllowed = ranking.isLinkSender()
                || (behindLinkSinceMillis >= 0 && nowMillis - behindLinkSinceMillis >= LINK_BACKUP_DELAY_MILLIS);
        List<NodeId> candidates = newerDigests.keySet().stream()
                .filter(n -> isLinkAllowed || !ranking.isRemote(n))
                .sorted((a, b) -> a.value().compareTo(b.value()))
                .toList();
        if (candidates.isEmpty()) {
            return;
        }
        NodeId chosen = candidates.get(random.nextInt(candidates.size()));
        nextWantMillis = nowMillis + WANT_REPEAT_MILLIS;
        actions.add(new DistributionAction.Send(chosen, new ConfigMessage.Want(held.version())));
    }

    private void sendNewer(NodeId to, long haveVersion, long nowMillis, List<DistributionAction> actions) {
        if (haveVersion >= held.version()) {
            return;
        }
        for (ConfigSnapshot old : history) {
            if (old.version() == haveVersion && haveVersion > 0) {
                ConfigSnapshotDelta delta = ConfigSnapshotDelta.between(old, held);
                ConfigMessage message = new ConfigMessage.Delta(delta, replication.isReplicated());
                actions.add(new DistributionAction.Send(to, message));
                return;
            }
        }
        // Without this limit, nodes that recover together would all load whole documents from the first recovered node.
        if (nowMillis - wholeWindowMillis >= WHOLE_WINDOW_MILLIS) {
            wholeWindowMillis = nowMillis;
            wholeInWindow = 0;
        }
        if (wholeInWindow < MAX_WHOLE_PER_WINDOW) {
            wholeInWindow++;
            ConfigMessage message = new ConfigMessage.Whole(held, replication.isReplicated());
            actions.add(new DistributionAction.Send(to, message));
        }
    }

    private void deltaReceived(
            NodeId from, ConfigMessage.Delta message, long nowMillis, List<DistributionAction> actions) {
        ConfigSnapshotDelta delta = message.delta();
        if (delta.toVersion() <= held.version()) {
            return;
        }
        Optional<ConfigSnapshot> result = delta.applyTo(held);
        if (result.isPresent()) {
            learnFromPeer(from, result.get(), message.isReplicated(), nowMillis, actions);
            return;
        }
        long have = delta.fromVersion() == held.version() ? 0 : held.version();
        nextWantMillis = nowMillis + WANT_REPEAT_MILLIS;
        actions.add(new DistributionAction.Send(from, new ConfigMessage.Want(have)));
    }

    private void learnFromPeer(
            NodeId from,
            ConfigSnapshot snapshot,
            boolean isReplicated,
            long nowMillis,
            List<DistributionAction> actions) {
        // Replicas in another region cannot help a node of this region that starts while the link is down.
        learn(snapshot, isReplicated && !ranking.isRemote(from), nowMillis, actions);
        if (snapshot.version() == held.version()) {
            replication.addCopy(from);
        }
        sendDigest(List.of(from), false, actions);
    }

    private void learn(
            ConfigSnapshot snapshot, boolean isReplicated, long nowMillis, List<DistributionAction> actions) {
        if (snapshot.version() > held.version()) {
            history.addFirst(held);
            if (history.size() > MAX_HISTORY_VERSIONS) {
                history.removeLast();
            }
            held = snapshot;
            replication.reset(isReplicated);
            nextWantMillis = nowMillis;
            behindLinkSinceMillis = -1;
            if (gate.isOpen() && isReplicated) {
                applyHeld(actions);
            }
            checkReplication(nowMillis, actions);
        }
        openIfSafe(actions);
    }

    private void applyHeld(List<DistributionAction> actions) {
        if (held.version() > 0 && gate.tryApply(held.version())) {
            actions.add(new DistributionAction.Apply(held));
            announce(actions);
        }
    }

    private void announce(List<DistributionAction> actions) {
        sendDigest(ranking.randomLocal(FANOUT), false, actions);
        if (ranking.isWatcher()) {
            sendDigest(ranking.replicas(), false, actions);
        }
        if (ranking.isLinkSender()) {
            sendDigest(ranking.remoteWatchers(), false, actions);
        }
    }

    private void sendDigest(Collection<NodeId> peers, boolean wantsReply, List<DistributionAction> actions) {
        ConfigMessage digest = new ConfigMessage.Digest(
                held.version(), held.revision(), replication.isReplicated(), gate.isOpen(), wantsReply);
        peers.forEach(peer -> actions.add(new DistributionAction.Send(peer, digest)));
    }
}
