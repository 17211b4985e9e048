package io.hornbeamscale.core.membership;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

/**
 * Rendezvous (highest random weight) hashing. Nodes with the same candidates choose the same owners without
 * communication, and the loss of a candidate moves only the keys that it owned. The result does not depend on the
 * process.
 */
public final class RendezvousHash {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHash() {}

    /**
     * Chooses the owners of a key.
     *
     * @param <T> the type of the candidates
     * @param candidates the candidates, in any order, not null
     * @param name returns the unique name of a candidate, not null
     * @param key the key, not null
     * @param count how many owners to choose, not negative
     * @return the owners in descending order of their weight; all candidates if there are fewer than {@code count}
     */
    public static <T> List<T> owners(Collection<T> candidates, Function<T, String> name, String key, int count) {
        Arguments.notNull(candidates, "candidates");
        Arguments.notNegative(count, "count");
        long keyHash = hash(Arguments.notNull(key, "key"));
        List<Scored<T>> scored = new ArrayList<>(candidates.size());
        for (T candidate : candidates) {
            String text = name.apply(candidate);
            scored.add(new Scored<>(mix(hash(text) ^ mix(keyHash)), text, candidate));
        }
        // The name decides between equal scores, so that the result does not depend on the order of the candidates.
        scored.sort(
                Comparator.comparingLong((Scored<T> s) -> s.score()).reversed().thenComparing(Scored::name));
        return scored.stream().limit(count).map(Scored::candidate).toList();
    }

    /**
     * Chooses the single owner of a key.
     *
     * @param <T> the type of the candidates
     * @param candidates the candidates, in any order, not null
     * @param name returns the unique name of a candidate, not null
     * @param key the key, not null
     * @return the owner, empty if there is no candidate
     */
    public static <T> Optional<T> owner(Collection<T> candidates, Function<T, String> name, String key) {
        return owners(candidates, name, key, 1).stream().findFirst();
    }

    private static long hash(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    /** Spreads every input bit over all output bits; without this step, similar names get similar scores. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 30)) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
        return mixed ^ (mixed >>> 31);
    }

    private record Scored<T>(long score, String name, T candidate) {}
}
