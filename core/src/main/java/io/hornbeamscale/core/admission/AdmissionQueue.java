package io.hornbeamscale.core.admission;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Decides which waiting stream of an entry gets capacity next, how long a stream may wait, and which one is refused.
 * Requests that can still meet their objective go first, then those of customers within their fair share, then by
 * urgency, size and arrival. A request is refused at once if capacity is not expected while it is useful. Not safe for
 * use by several threads.
 *
 * @param <T> the type of the streams
 */
public final class AdmissionQueue<T> {
    /** The streams of a class that may find no room in one pass; each is tried at about 30 servers. */
    static final int MAX_MISSES = 3;

    /**
     * The time between attempts to place streams that can only be late, in milliseconds. Timely streams of other
     * entries, which hear of free memory within tens of milliseconds, take it first.
     */
    static final long LATE_INTERVAL_MILLIS = 150;

    /** The part of its remaining time that a caller waits before it returns. */
    private static final long FOLLOWED_PARTS = 3;

    /** The least time after which a refused caller may return, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 200;

    /** The part of the time to return over which callers are spread. */
    private static final double SPREAD_SHARE = 0.3;

    private final Consumer<AdmissionEvent> events;
    private final List<WaitingRequest<T>> waiting = new ArrayList<>();
    private final Map<T, Running> running = new HashMap<>();
    private final Map<String, CapacityClass> classes = new HashMap<>();
    private final RouteShares routes = new RouteShares();
    private long lateTriedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates an empty queue.
     *
     * @param events receives each decision that operators count, not null
     */
    public AdmissionQueue(Consumer<AdmissionEvent> events) {
        this.events = Arguments.notNull(events, "events");
    }

    /**
     * Returns whether an arriving request may be placed before it waits. It may unless it would take room from a
     * waiting request that goes before it. A waiting long response does not hold back a short one: it has found no
     * room, and memory is kept free for short ones, which return it soon.
     *
     * @param request the request, not null
     * @param nowMillis the present time
     * @return whether to try to place it
     */
    public boolean mayPlaceNow(AdmissionRequest request, long nowMillis) {
        if (waiting.isEmpty()) {
            return true;
        }
        WaitingRequest<T> arrival = new WaitingRequest<>(null, request, classOf(request), 0, nowMillis);
        waiting.add(arrival);
        sort(nowMillis);
        int index = waiting.indexOf(arrival);
        waiting.remove(index);
        return waiting.subList(0, index).stream()
                .noneMatch(w ->
                        w.request.service().equals(request.service()) && (!w.request.isLong() || request.isLong()));
    }

    /**
     * Adds a request that found no room, unless capacity is not expected while it is useful. The first waiting request
     * of a class or a route is always added, so that the rate of capacity is measured and each route is served. An item
     * that was placed and comes back, since the server refused it, gives its admission back.
     *
     * @param item the stream, not null
     * @param request what is known of it, not null
     * @param servers the number of servers that take requests, in which a server with a request limit counts as a part
     * @param random the source for the spread of times to return, not null
     * @param nowMillis the present time
     * @return empty if the request was added, otherwise the time after which it may be retried, in milliseconds
     */
    public Optional<Long> offer(
            T item, AdmissionRequest request, double servers, RandomGenerator random, long nowMillis) {
        Arguments.notNull(item, "item");
        Arguments.notNull(request, "request");
        CapacityClass capacity = classOf(request);
        Running before = running.remove(item);
        if (before != null) {
            before.capacity.rate().returned(before.request, nowMillis);
            before.capacity.shares().returned(before.request, nowMillis);
        }
        WaitingRequest<T> arrival = new WaitingRequest<>(item, request, capacity, servers, nowMillis);
        waiting.add(arrival);
        sort(nowMillis);
        if (isTooLate(arrival, nowMillis)) {
            waiting.remove(arrival);
            events.accept(AdmissionEvent.REFUSED_EARLY);
            return Optional.of(retryAfterMillis(arrival, random, nowMillis));
        }
        arrival.isWaiting = true;
        capacity.rate().waitingChanged(1, nowMillis);
        if (request.isRepeat()) {
            events.accept(AdmissionEvent.REPEAT_DEFERRED);
        }
        return Optional.empty();
    }

    /**
     * Counts a request that was sent to a server, whether or not it has waited.
     *
     * @param item the stream, not null
     * @param request what is known of it, not null
     * @param nowMillis the present time
     */
    public void placed(T item, AdmissionRequest request, long nowMillis) {
        Arguments.notNull(item, "item");
        Optional<WaitingRequest<T>> found =
                waiting.stream().filter(w -> w.item.equals(item)).findFirst();
        found.ifPresent(w -> {
            remove(w, nowMillis);
            countReordering(w);
        });
        if (running.containsKey(item)) {
            return;
        }
        CapacityClass capacity = classOf(request);
        running.put(item, new Running(request, capacity, nowMillis));
        capacity.rate().admitted(request, found.isPresent(), nowMillis);
        capacity.shares().admitted(request, nowMillis);
        routes.admitted(request.route(), nowMillis);
    }

    /**
     * Removes a request that has ended, whether it waits, runs or neither.
     *
     * @param item the stream, not null
     * @param nowMillis the present time
     */
    public void ended(T item, long nowMillis) {
        for (WaitingRequest<T> each : List.copyOf(waiting)) {
            if (each.item.equals(item)) {
                remove(each, nowMillis);
            }
        }
        Running ran = running.remove(item);
        if (ran != null) {
            ran.capacity.rate().ended(ran.request, nowMillis - ran.sinceMillis, nowMillis);
            ran.capacity.shares().ended(ran.request);
        }
    }

    /**
     * Tries to place waiting requests in their order. A class is skipped after a few of its requests found no room, so
     * the work of one pass is bounded.
     *
     * @param tryPlace places a stream; returns whether it need not wait any longer; must call {@link #placed} if it
     *     sends the request
     * @param nowMillis the present time
     */
    public void place(Predicate<T> tryPlace, long nowMillis) {
        if (waiting.isEmpty()) {
            return;
        }
        sort(nowMillis);
        boolean mayTryLate = nowMillis - lateTriedAtMillis >= LATE_INTERVAL_MILLIS;
        Map<CapacityClass, Integer> misses = new HashMap<>();
        for (WaitingRequest<T> each : List.copyOf(waiting)) {
            if (!each.isWaiting
                    || (each.isLate && !mayTryLate)
                    || misses.getOrDefault(each.capacity, 0) >= MAX_MISSES) {
                continue;
            }
            if (each.isLate) {
                lateTriedAtMillis = nowMillis;
            }
            if (!tryPlace.test(each.item)) {
                misses.merge(each.capacity, 1, Integer::sum);
            } else if (each.isWaiting) {
                remove(each, nowMillis);
            }
        }
    }

    /**
     * Removes the requests that have waited as long as they may, and those for which capacity is not expected any more
     * within that time.
     *
     * @param random the source for the spread of times to return, not null
     * @param nowMillis the present time
     * @return the refused requests, never null
     */
    public List<Refusal<T>> refusals(RandomGenerator random, long nowMillis) {
        if (waiting.isEmpty()) {
            return List.of();
        }
        sort(nowMillis);
        List<Refusal<T>> refused = new ArrayList<>();
        for (WaitingRequest<T> each : List.copyOf(waiting)) {
            boolean isHopeless = !isFirst(each) && nowMillis + likelyWaitMillis(each, nowMillis) > each.limitAtMillis;
            if (nowMillis >= each.limitAtMillis || isHopeless) {
                remove(each, nowMillis);
                events.accept(AdmissionEvent.REFUSED_WAITING);
                refused.add(new Refusal<>(each.item, retryAfterMillis(each, random, nowMillis)));
            }
        }
        return refused;
    }

    /**
     * Returns whether no request waits.
     *
     * @return whether the queue is empty
     */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }

    /**
     * Returns the number of waiting requests.
     *
     * @return the number of requests
     */
    public int size() {
        return waiting.size();
    }

    /**
     * Returns the prompt tokens of the waiting requests.
     *
     * @return the number of tokens
     */
    public long promptTokens() {
        return waiting.stream().mapToLong(w -> w.request.promptTokens()).sum();
    }

    /**
     * Returns the waiting streams in the order in which they get capacity.
     *
     * @param nowMillis the present time
     * @return a copy of the list, never null
     */
    public List<T> inOrder(long nowMillis) {
        sort(nowMillis);
        return waiting.stream().map(w -> w.item).toList();
    }

    private CapacityClass classOf(AdmissionRequest request) {
        String key = (request.isLong() ? "long " : "short ") + request.service();
        return classes.computeIfAbsent(key, k -> new CapacityClass());
    }

    private void sort(long nowMillis) {
        Map<CapacityClass, Set<String>> customers = new HashMap<>();
        for (WaitingRequest<T> each : waiting) {
            customers.computeIfAbsent(each.capacity, k -> new HashSet<>()).add(each.request.customer());
        }
        customers.forEach((capacity, names) -> capacity.shares().update(names, nowMillis));
        for (WaitingRequest<T> each : waiting) {
            each.isFloor = false;
            each.isLate = nowMillis > each.request.latestTimelyMillis();
            each.isOver = each.capacity.shares().isOver(each.request.customer(), nowMillis);
        }
        waiting.sort(WaitingRequest.ORDER);
        Set<String> seen = new HashSet<>();
        for (WaitingRequest<T> each : waiting) {
            if (seen.add(each.request.route())) {
                each.isFloor = !each.request.isRepeat() && routes.isBelowFloor(each.request.route(), nowMillis);
            }
        }
        waiting.sort(WaitingRequest.ORDER);
    }

    /** Returns whether capacity for an arriving request is not expected while it is useful. */
    private boolean isTooLate(WaitingRequest<T> arrival, long nowMillis) {
        long limit = arrival.limitAtMillis - nowMillis;
        if (limit < 0) {
            return true;
        }
        long timely = arrival.request.latestTimelyMillis() - nowMillis;
        // A request that can only be late, such as one that a server has sent back, may wait to its limit.
        return !isFirst(arrival)
                && likelyWaitMillis(arrival, nowMillis) > (timely > 0 ? Math.min(timely, limit) : limit);
    }

    private boolean isFirst(WaitingRequest<T> request) {
        boolean hasRoute = false;
        boolean hasClass = false;
        for (WaitingRequest<T> each : waiting) {
            if (each == request) {
                break;
            }
            hasRoute |= each.request.route().equals(request.request.route());
            hasClass |= each.capacity == request.capacity;
        }
        return !hasRoute || !hasClass;
    }

    private double likelyWaitMillis(WaitingRequest<T> request, long nowMillis) {
        List<WaitingRequest<T>> ahead = waiting.subList(0, waiting.indexOf(request));
        return Math.max(
                prefillMillis(ahead, request),
                request.capacity.likelyWaitMillis(memoryTokens(ahead, request.capacity), request.request, nowMillis));
    }

    /**
     * Returns after which time the caller of a refused request should return: when capacity is expected behind the
     * waiting requests, spread over callers, but not longer than a caller follows.
     */
    private long retryAfterMillis(WaitingRequest<T> refused, RandomGenerator random, long nowMillis) {
        double capacity =
                refused.capacity.capacityMillis(memoryTokens(waiting, refused.capacity), refused.request, nowMillis);
        double expected = Math.max(MIN_RETRY_AFTER_MILLIS, Math.max(prefillMillis(waiting, refused), capacity));
        double spread = expected * (1 + SPREAD_SHARE * random.nextDouble());
        double followed = Math.max(0, refused.request.deadlineMillis() - nowMillis) / (double) FOLLOWED_PARTS;
        if (spread > followed) {
            spread = followed * (1 - SPREAD_SHARE * random.nextDouble());
        }
        refused.capacity.willReturn(refused.request, nowMillis + (long) spread);
        return (long) spread;
    }

    /** Returns how long the servers take to process the prompts that wait ahead of a request, in milliseconds. */
    private double prefillMillis(List<WaitingRequest<T>> ahead, WaitingRequest<T> request) {
        long prompts = 0;
        for (WaitingRequest<T> each : ahead) {
            prompts += each.request.service().equals(request.request.service()) ? each.request.promptTokens() : 0;
        }
        return prompts / (AdmissionRequest.PREFILL_TOKENS_PER_MILLI * (request.servers > 0 ? request.servers : 1));
    }

    private long memoryTokens(List<WaitingRequest<T>> requests, CapacityClass capacity) {
        long tokens = 0;
        for (WaitingRequest<T> each : requests) {
            tokens += each.capacity == capacity ? each.request.memoryTokens() : 0;
        }
        return tokens;
    }

    private void countReordering(WaitingRequest<T> placed) {
        if (placed.isFloor) {
            events.accept(AdmissionEvent.ROUTE_FLOOR_USED);
        } else if (!placed.isOver
                && waiting.stream()
                        .anyMatch(w -> w.isOver && w.capacity == placed.capacity && w.score < placed.score)) {
            events.accept(AdmissionEvent.FAIRNESS_REORDERED);
        }
    }

    private void remove(WaitingRequest<T> request, long nowMillis) {
        if (waiting.remove(request)) {
            request.isWaiting = false;
            request.capacity.rate().waitingChanged(-1, nowMillis);
        }
    }

    /**
     * A request that was removed from the queue without being placed.
     *
     * @param item the stream
     * @param retryAfterMillis the time after which its caller may return, in milliseconds
     * @param <T> the type of the stream
     */
    public record Refusal<T>(T item, long retryAfterMillis) {}

    private record Running(AdmissionRequest request, CapacityClass capacity, long sinceMillis) {}
}
