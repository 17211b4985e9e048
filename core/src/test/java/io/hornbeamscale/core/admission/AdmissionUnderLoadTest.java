package io.hornbeamscale.core.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays a crest of long responses with bursts against the memory of a few engines and guards against an admission that
 * serves callers worse than the order of arrival, lets one customer displace the others, or starves a route.
 */
class AdmissionUnderLoadTest {
    private static final long STEP_MILLIS = 10;
    private static final long PLAY_MILLIS = 40_000;
    private static final long OBJECTIVE_MILLIS = 1_500;

    /** Memory for seven long responses on each of two engines, which the usual load fills for the most part. */
    private static final long MEMORY_TOKENS = 2 * 26_900;

    private static final int CUSTOMERS = 8;

    /** The time after which a caller repeats that ignores the time to return. */
    private static final long REPEAT_MILLIS = 50;

    @Nested
    class Crest {
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void servesMoreCallersInTimeThanTheOrderOfArrival(long seed) {
            Play byArrival = new Play(seed, 1, false);
            Play byAdmission = new Play(seed, 1, true);
            byArrival.run();
            byAdmission.run();
            long before = byArrival.timely(c -> true);
            long after = byAdmission.timely(c -> true);
            assertTrue(after > before, after + " timely responses, " + before + " by arrival");
            byAdmission.checkEachCallEnded();
        }

        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void servesEachRoute(long seed) {
            Play play = new Play(seed, 1, true);
            play.run();
            for (String route : List.of("long", "short")) {
                long all = play.calls.stream()
                        .filter(c -> c.request.route().equals(route))
                        .count();
                long timely = play.timely(c -> c.request.route().equals(route));
                assertTrue(timely >= 0.1 * all, route + ": " + timely + " of " + all);
            }
        }
    }

    @Nested
    class GreedyCustomer {
        /** One customer sends 7.5 times its usual load; the others get what they get without it, up to a tenth. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void doesNotDisplaceTheOthers(long seed) {
            Play usual = new Play(seed, 1, true);
            Play greedy = new Play(seed, 7.5, true);
            usual.run();
            greedy.run();
            long before = usual.timely(c -> !c.isOfGreedy());
            long after = greedy.timely(c -> !c.isOfGreedy());
            assertTrue(after >= 0.9 * before, after + " timely responses, " + before + " without the greedy customer");
        }
    }

    @Nested
    class Repeats {
        /** Some customers send a refused request again at once until its deadline; the others get what they got. */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void doNotDisplaceFirstAttempts(long seed) {
            Play usual = new Play(seed, 1, true);
            Play repeated = new Play(seed, 1, true);
            repeated.repeaters = Set.of("customer1", "customer2", "customer3");
            usual.run();
            repeated.run();
            Predicate<Call> isOther = c -> !repeated.repeaters.contains(c.request.customer());
            long before = usual.timely(isOther);
            long after = repeated.timely(isOther);
            assertTrue(repeated.calls.size() > 2 * usual.calls.size());
            assertTrue(after >= 0.9 * before, after + " timely responses, " + before + " without the repeats");
        }
    }

    @Nested
    class LostStatus {
        /**
         * The status of the other entries is lost for 3 s, so memory that they use looks free, and servers refuse what
         * is sent there. Each caller still gets an answer, and what follows is admitted as before.
         */
        @ParameterizedTest
        @ValueSource(longs = {1, 2, 3, 4, 5})
        void leavesNoCallerWithoutAnswer(long seed) {
            Play usual = new Play(seed, 1, true);
            Play lost = new Play(seed, 1, true);
            lost.lostFromMillis = 15_000;
            lost.lostUntilMillis = 18_000;
            usual.run();
            lost.run();
            assertTrue(lost.sentBack > 0);
            lost.checkEachCallEnded();
            Predicate<Call> isLater = c -> c.request.arrivedAtMillis() > 18_000 + OBJECTIVE_MILLIS;
            assertTrue(lost.timely(isLater) >= 0.9 * usual.timely(isLater));
        }
    }

    /** One request of a caller; a caller that is refused sends a second one. */
    private static final class Call {
        private final AdmissionRequest request;
        private final boolean isSecond;
        private long placedAtMillis = -1;
        private boolean isRefused;

        Call(AdmissionRequest request, boolean isSecond) {
            this.request = request;
            this.isSecond = isSecond;
        }

        boolean isOfGreedy() {
            return request.customer().equals("customer0");
        }

        boolean isTimely() {
            return placedAtMillis >= 0 && placedAtMillis <= request.latestTimelyMillis();
        }

        long endsAtMillis() {
            return placedAtMillis + (long) request.durationMillis();
        }
    }

    /** The load, and engines that are nothing but memory. */
    private static final class Play {
        private final Random random;
        private final Random spread = new Random(9);
        private final double greed;
        private final boolean isByAdmission;
        private final AdmissionQueue<Call> queue = new AdmissionQueue<>(e -> {});
        private final Set<Call> byArrival = new LinkedHashSet<>();
        private final List<Call> calls = new ArrayList<>();
        private final PriorityQueue<Call> running =
                new PriorityQueue<>((a, b) -> Long.compare(a.endsAtMillis(), b.endsAtMillis()));
        private final PriorityQueue<Call> returning =
                new PriorityQueue<>((a, b) -> Long.compare(a.request.arrivedAtMillis(), b.request.arrivedAtMillis()));
        private long usedTokens;
        private long lostFromMillis;
        private long lostUntilMillis;
        private int sentBack;
        private Set<String> repeaters = Set.of();
        private long now;

        Play(long seed, double greed, boolean isByAdmission) {
            random = new Random(seed);
            this.greed = greed;
            this.isByAdmission = isByAdmission;
        }

        /** Long responses at the usual rate, at 2.5 times it in bursts of 8 s; short ones all the time. */
        void run() {
            for (now = 0; now < PLAY_MILLIS; now += STEP_MILLIS) {
                double burst = now % 16_000 >= 8_000 ? 2.5 : 1;
                for (int customer = 0; customer < CUSTOMERS; customer++) {
                    long due = arrivals(2.0 / CUSTOMERS * burst);
                    long dueShort = arrivals(4.0 / CUSTOMERS);
                    if (customer == 0 && greed > 1) {
                        // Drawn apart, so that the others send the same with and without the greedy customer.
                        due += spreadArrivals(2.0 / CUSTOMERS * burst * (greed - 1));
                    }
                    send("long", customer, due, 3_000, 300 + random.nextInt(900));
                    send("short", customer, dueShort, 2_200, 10);
                }
                step();
            }
            while (now < PLAY_MILLIS + 20_000) {
                step();
                now += STEP_MILLIS;
            }
        }

        long timely(Predicate<Call> which) {
            return calls.stream().filter(which).filter(Call::isTimely).count();
        }

        void checkEachCallEnded() {
            assertEquals(
                    0,
                    calls.stream()
                            .filter(c -> c.placedAtMillis < 0 && !c.isRefused)
                            .count());
            assertTrue(queue.isEmpty());
        }

        private long arrivals(double perSecond) {
            return random.nextDouble() < perSecond * STEP_MILLIS / 1_000 ? 1 : 0;
        }

        private long spreadArrivals(double perSecond) {
            return spread.nextDouble() < perSecond * STEP_MILLIS / 1_000 ? 1 : 0;
        }

        private void send(String route, int customer, long count, long prompt, long expected) {
            int priority = route.equals("short") ? 0 : 1;
            for (long i = 0; i < count; i++) {
                AdmissionRequest request = new AdmissionRequest(
                        "engines",
                        route,
                        "customer" + customer,
                        priority,
                        prompt,
                        expected,
                        now,
                        OBJECTIVE_MILLIS,
                        now + 12_000,
                        false);
                arrive(new Call(request, false));
            }
        }

        private void arrive(Call call) {
            calls.add(call);
            if (!isByAdmission) {
                byArrival.add(call);
            } else if (!queue.mayPlaceNow(call.request, now) || !tryPlace(call)) {
                queue.offer(call, call.request, 2, spread, now).ifPresent(retry -> refuse(call, retry));
            }
        }

        private void step() {
            while (!running.isEmpty() && running.peek().endsAtMillis() <= now) {
                Call ended = running.poll();
                usedTokens -= ended.request.memoryTokens();
                queue.ended(ended, now);
            }
            while (!returning.isEmpty() && returning.peek().request.arrivedAtMillis() <= now) {
                Call due = returning.poll();
                arrive(new Call(request(due.request, now, due.request.isRepeat()), true));
            }
            queue.place(this::tryPlace, now);
            queue.refusals(spread, now).forEach(r -> refuse(r.item(), r.retryAfterMillis()));
            for (Call call : List.copyOf(byArrival)) {
                if (tryPlace(call)) {
                    byArrival.remove(call);
                } else if (call.request.maxWaitMillis(now) <= 0) {
                    byArrival.remove(call);
                    refuse(call, 600);
                }
            }
        }

        private boolean tryPlace(Call call) {
            long needed = usedTokens + call.request.memoryTokens();
            boolean hasRoom = needed <= (call.request.isLong() ? 0.85 : 0.95) * MEMORY_TOKENS;
            if (!hasRoom && now >= lostFromMillis && now < lostUntilMillis) {
                sentBack++;
                queue.placed(call, call.request, now);
                queue.offer(call, call.request, 2, spread, now).ifPresent(retry -> refuse(call, retry));
                return true;
            }
            if (hasRoom) {
                call.placedAtMillis = now;
                usedTokens = needed;
                running.add(call);
                queue.placed(call, call.request, now);
            }
            return hasRoom;
        }

        /** A caller follows a time to return up to a third of its remaining time, and returns once, or repeats. */
        private void refuse(Call call, long retryAfterMillis) {
            call.isRefused = true;
            AdmissionRequest r = call.request;
            boolean isRepeat = repeaters.contains(r.customer());
            long at = now + (isRepeat ? REPEAT_MILLIS : retryAfterMillis);
            boolean isFollowed = !call.isSecond && 3 * (at - now) <= r.deadlineMillis() - now;
            if (isRepeat ? at < r.deadlineMillis() : isFollowed) {
                returning.add(new Call(request(r, at, isRepeat), true));
            }
        }

        private static AdmissionRequest request(AdmissionRequest r, long arrivedAtMillis, boolean isRepeat) {
            return new AdmissionRequest(
                    r.service(),
                    r.route(),
                    r.customer(),
                    r.priority(),
                    r.promptTokens(),
                    r.expectedTokens(),
                    arrivedAtMillis,
                    r.objectiveMillis(),
                    r.deadlineMillis(),
                    isRepeat);
        }
    }
}
