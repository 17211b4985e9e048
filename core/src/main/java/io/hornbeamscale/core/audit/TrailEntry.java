package io.hornbeamscale.core.audit;

/** An entry of a trail. The number decides the order; the writer tells entries of racing writers apart. */
public interface TrailEntry {
    /**
     * Returns the number within the trail.
     *
     * @return the number, from 1, rising by 1 from entry to entry
     */
    long number();

    /**
     * Returns the id that the writer chose for this one write.
     *
     * @return the id, unique for each write, never null
     */
    String writer();
}
