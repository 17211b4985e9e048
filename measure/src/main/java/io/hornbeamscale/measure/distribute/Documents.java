package io.hornbeamscale.measure.distribute;

import io.hornbeamscale.core.distribute.ConfigSnapshot;
import java.util.HashMap;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Documents with many entities, of which a publication changes a few. */
final class Documents {
    private static final int TEXT_BYTES = 150;
    private static final int CHANGES = 3;

    private Documents() {}

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
        for (int i = 0; i < CHANGES; i++) {
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
        return head + "x".repeat(Math.max(0, TEXT_BYTES - head.length() - 2)) + "\"}";
    }
}
