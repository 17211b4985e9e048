package io.hornbeamscale.core.dispatch;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects slow backend servers by comparing their token gap with the median of their group, the servers of the same
 * service and model. A slow server is ejected, then on probation, then normal again; the probation time doubles with
 * each relapse. Only a share of a group is ejected, since the others must carry the load.
 */
final class StragglerDetector {
    private static final double SLOW_FACTOR = 2;
    private static final double NORMAL_FACTOR = 1.5;
    private static final int EJECTION_REPORTS = 2;
    private static final int MIN_PEERS = 3;
    private static final double MAX_EJECTED_SHARE = 0.3;
    private static final long CHECK_PERIOD_MILLIS = 100;
    private static final long MIN_EJECTION_MILLIS = 2_000;
    private static final long FIRST_PROBATION_MILLIS = 5_000;
    private static final long MAX_PROBATION_MILLIS = 60_000;

    private long checkedMillis = -CHECK_PERIOD_MILLIS;

    void check(List<BackendState> all, long nowMillis) {
        if (nowMillis - checkedMillis < CHECK_PERIOD_MILLIS) {
            return;
        }
        checkedMillis = nowMillis;
        Map<String, List<BackendState>> groups = new HashMap<>();
        for (BackendState b : all) {
            if (b.isUsable() && b.status != null) {
                String key = b.descriptor == null ? "" : b.descriptor.service().value() + "/" + b.descriptor.model();
                groups.computeIfAbsent(key, k -> new ArrayList<>()).add(b);
            }
        }
        groups.values().forEach(g -> evaluate(g, nowMillis));
    }

    private static void evaluate(List<BackendState> group, long nowMillis) {
        double median = median(group);
        int remaining = (int) (group.size() * MAX_EJECTED_SHARE);
        for (BackendState b : group) {
            remaining -= b.speed == BackendState.Speed.EJECTED ? 1 : 0;
        }
        for (BackendState b : group) {
            double gap = b.gapMillis();
            boolean isSlow = median > 0 && gap > SLOW_FACTOR * median;
            b.slowReports = isSlow ? b.slowReports + 1 : 0;
            if (b.speed == BackendState.Speed.EJECTED) {
                readmit(b, gap <= NORMAL_FACTOR * median, isSlow, nowMillis);
            } else if (b.slowReports >= EJECTION_REPORTS && remaining > 0) {
                remaining--;
                eject(b, nowMillis);
            } else if (b.speed == BackendState.Speed.PROBATION && nowMillis - b.speedSinceMillis > b.probationMillis) {
                setSpeed(b, BackendState.Speed.NORMAL, nowMillis);
            }
        }
    }

    private static void eject(BackendState b, long nowMillis) {
        boolean isRelapse = b.probationMillis > 0 && nowMillis - b.speedSinceMillis < MAX_PROBATION_MILLIS;
        b.probationMillis = isRelapse ? Math.min(MAX_PROBATION_MILLIS, 2 * b.probationMillis) : FIRST_PROBATION_MILLIS;
        setSpeed(b, BackendState.Speed.EJECTED, nowMillis);
    }

    private static void readmit(BackendState b, boolean isNormal, boolean isSlow, long nowMillis) {
        if (isSlow) {
            b.speedSinceMillis = nowMillis;
        } else if (isNormal && nowMillis - b.speedSinceMillis > MIN_EJECTION_MILLIS) {
            setSpeed(b, BackendState.Speed.PROBATION, nowMillis);
        }
    }

    private static void setSpeed(BackendState b, BackendState.Speed next, long nowMillis) {
        b.speed = next;
        b.speedSinceMillis = nowMillis;
    }

    private static double median(List<BackendState> group) {
        double[] gaps = group.stream()
                .mapToDouble(BackendState::gapMillis)
                .filter(g -> g > 0)
                .sorted()
                .toArray();
        if (gaps.length < MIN_PEERS) {
            return 0;
        }
        Arrays.sort(gaps);
        return gaps[(gaps.length - 1) / 2];
    }
}
