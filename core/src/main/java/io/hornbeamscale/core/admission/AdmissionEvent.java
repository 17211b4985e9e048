package io.hornbeamscale.core.admission;

/** A decision of an {@link AdmissionQueue} that operators count. */
public enum AdmissionEvent {
    /** A request was refused on arrival, since capacity is not expected in time. */
    REFUSED_EARLY,
    /** A waiting request was refused, since capacity did not come in time or is not expected any more. */
    REFUSED_WAITING,
    /** A request was placed before an earlier one of a customer that has more than its fair share. */
    FAIRNESS_REORDERED,
    /** A request was placed first, since its route had less than its minimum share of the admissions. */
    ROUTE_FLOOR_USED,
    /** A request that repeats a refused one before its time was put behind the others. */
    REPEAT_DEFERRED
}
