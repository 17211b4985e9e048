package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** An entry that sends each request to an engine at once, as a conventional load balancer does. */
final class DirectEntry implements SimulatedEntry {
    private final Policy policy;
    private final NodeLocation location;
    private final SimulatedCluster cluster;
    private final Random random;
    private final int[] outstanding;
    private final boolean[] lostBackends;
    private final Map<RequestRun, SentRequest> sentRequests = new LinkedHashMap<>();
    private int lastChosen;

    DirectEntry(Policy policy, NodeLocation location, SimulatedCluster cluster, long seed) {
        this.policy = policy;
        this.location = location;
        this.cluster = cluster;
        this.random = new Random(seed);
        this.outstanding = new int[cluster.size()];
        this.lostBackends = new boolean[cluster.size()];
        this.lastChosen = random.nextInt(cluster.size());
    }

    @Override
    public void submit(RequestRun run) {
        int backendIndex = choose();
        outstanding[backendIndex]++;
        run.isRemote = !location.region().equals(cluster.location(backendIndex).region());
        DirectJob owner = new DirectJob(run, this, backendIndex);
        EngineJob job = cluster.createJob(run, owner, 0);
        sentRequests.put(run, new SentRequest(backendIndex, job));
        cluster.runAfterDelay(
                location, backendIndex, () -> cluster.engine(backendIndex).submit(job));
    }

    private int choose() {
        switch (policy) {
            case ROUND_ROBIN -> {
                do {
                    lastChosen = (lastChosen + 1) % outstanding.length;
                } while (lostBackends[lastChosen]);
                return lastChosen;
            }
            case TWO_CHOICES -> {
                int a = randomUsable();
                int b = randomUsable();
                return outstanding[a] <= outstanding[b] ? a : b;
            }
            default -> {
                return leastOutstanding();
            }
        }
    }

    private int randomUsable() {
        int pick;
        do {
            pick = random.nextInt(outstanding.length);
        } while (lostBackends[pick]);
        return pick;
    }

    private int leastOutstanding() {
        int best = randomUsable();
        int offset = random.nextInt(outstanding.length);
        for (int i = 0; i < outstanding.length; i++) {
            int pick = (i + offset) % outstanding.length;
            if (!lostBackends[pick] && outstanding[pick] < outstanding[best]) {
                best = pick;
            }
        }
        return best;
    }

    void ended(RequestRun run) {
        SentRequest s = sentRequests.remove(run);
        if (s != null) {
            outstanding[s.backendIndex]--;
        }
    }

    @Override
    public void cancel(RequestRun run) {
        SentRequest s = sentRequests.get(run);
        if (s != null) {
            ended(run);
            cluster.runAfterDelay(
                    location,
                    s.backendIndex,
                    () -> cluster.engine(s.backendIndex).cancel(s.job));
        }
    }

    @Override
    public void backendLost(int backendIndex) {
        lostBackends[backendIndex] = true;
        for (Map.Entry<RequestRun, SentRequest> e : Map.copyOf(sentRequests).entrySet()) {
            if (e.getValue().backendIndex != backendIndex) {
                continue;
            }
            ended(e.getKey());
            if (e.getKey().state == RequestRun.State.WAITING) {
                submit(e.getKey());
            } else {
                e.getKey().state = RequestRun.State.FAILED;
            }
        }
    }

    private record SentRequest(int backendIndex, EngineJob job) {}

    /**
     * The owner of a job that no agent controls.
     *
     * @param run the request
     * @param entry the entry that sent it
     * @param backendIndex the index of the backend server that received it
     */
    record DirectJob(RequestRun run, DirectEntry entry, int backendIndex) {}
}
