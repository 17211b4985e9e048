package io.hornbeamscale.measure.sim;

import io.hornbeamscale.measure.engine.EngineJob;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;

/** An entry that sends each request to an engine at once, as a usual load balancer does. */
final class DirectEntry implements EntryNode {
    private final Policy policy;
    private final Site site;
    private final Cluster cluster;
    private final Random random;
    private final int[] outstanding;
    private final boolean[] gone;
    private final Map<RequestRun, Sent> sent = new LinkedHashMap<>();
    private int turn;

    DirectEntry(Policy policy, Site site, Cluster cluster, long seed) {
        this.policy = policy;
        this.site = site;
        this.cluster = cluster;
        this.random = new Random(seed);
        this.outstanding = new int[cluster.size()];
        this.gone = new boolean[cluster.size()];
        this.turn = random.nextInt(cluster.size());
    }

    @Override
    public void submit(RequestRun run) {
        int runner = choose();
        outstanding[runner]++;
        run.isRemote = !site.region().equals(cluster.site(runner).region());
        DirectJob owner = new DirectJob(run, this, runner);
        EngineJob job = cluster.job(run, owner, 0);
        sent.put(run, new Sent(runner, job));
        cluster.after(site, runner, () -> cluster.engine(runner).submit(job));
    }

    private int choose() {
        switch (policy) {
            case ROUND_ROBIN -> {
                do {
                    turn = (turn + 1) % outstanding.length;
                } while (gone[turn]);
                return turn;
            }
            case TWO_CHOICES -> {
                int a = usable();
                int b = usable();
                return outstanding[a] <= outstanding[b] ? a : b;
            }
            default -> {
                return least();
            }
        }
    }

    private int usable() {
        int pick;
        do {
            pick = random.nextInt(outstanding.length);
        } while (gone[pick]);
        return pick;
    }

    private int least() {
        int best = usable();
        int offset = random.nextInt(outstanding.length);
        for (int i = 0; i < outstanding.length; i++) {
            int pick = (i + offset) % outstanding.length;
            if (!gone[pick] && outstanding[pick] < outstanding[best]) {
                best = pick;
            }
        }
        return best;
    }

    void ended(RequestRun run) {
        Sent s = sent.remove(run);
        if (s != null) {
            outstanding[s.runner]--;
        }
    }

    @Override
    public void giveUp(RequestRun run) {
        Sent s = sent.get(run);
        if (s != null) {
            ended(run);
            cluster.after(site, s.runner, () -> cluster.engine(s.runner).cancel(s.job));
        }
    }

    @Override
    public void runnerGone(int runner) {
        gone[runner] = true;
        for (Map.Entry<RequestRun, Sent> e : Map.copyOf(sent).entrySet()) {
            if (e.getValue().runner != runner) {
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

    private record Sent(int runner, EngineJob job) {}

    /**
     * The owner of a job that no agent controls.
     *
     * @param run the request
     * @param entry the entry that sent it
     * @param runner the runner that it went to
     */
    record DirectJob(RequestRun run, DirectEntry entry, int runner) {}
}
