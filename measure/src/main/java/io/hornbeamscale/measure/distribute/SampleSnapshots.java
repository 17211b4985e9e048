package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Configuration snapshots with many entities, of which each publication changes a few. */
final class SampleSnapshots {
    private static final int ENTITY_BYTES = 150;
    private static final int CHANGED_ENTITIES = 3;

    private SampleSnapshots() {}

    static ConfigSnapshot first(int entities) {
        Map<String, String> content = new HashMap<>();
        for (int i = 0; i < entities; i++) {
            content.put(name(i), text(i, 1));
        }
        return new ConfigSnapshot(1, 1, content);
    }

    static ConfigSnapshot next(ConfigSnapshot base, RandomGenerator random) {
        long version = base.version() + 1;
        Map<String, String> content = new HashMap<>(base.entities());
        int size = content.size();
        for (int i = 0; i < CHANGED_ENTITIES; i++) {
            int index = random.nextInt(size);
            content.put(name(index), text(index, version * 1_000 + random.nextInt(1_000)));
        }
        if (random.nextInt(4) == 0) {
            content.remove(name(random.nextInt(size)));
        }
        return new ConfigSnapshot(version, version, content);
    }

    private static String name(int index) {
        return "backend/runner-" + index;
    }

    private static String text(int index, long salt) {
        String head = "{\"runner\":" + index + ",\"salt\":" + salt + ",\"pad\":\"";
        return head + "x".repeat(Math.max(0, ENTITY_BYTES - head.length() - 2)) + "\"}";
    }
}
