package io.hornbeamscale.core.audit;

/** An entry of a trail. Entries are ordered by number; the writer id distinguishes entries of concurrent writers. */
public interface TrailEntry {
    /**
     * Returns the number of this entry within the trail.
     *
     * @return the number, from 1, increasing by 1 from entry to entry
     */
    long number();

    /**
     * Returns the id that the writer chose for the write of this entry.
     *
     * @return the id, unique for each write, never null
     */
    String writer();
}
