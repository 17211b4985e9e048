package io.hornbeamscale.gateway;

import io.hornbeamscale.core.admission.AdmissionRequest;
import io.hornbeamscale.core.eligibility.IneligibleReason;
import io.hornbeamscale.core.eligibility.SendTerms;
import io.hornbeamscale.core.eligibility.Verdict;
import io.hornbeamscale.core.fleet.FleetServer;
import io.hornbeamscale.core.placement.GenerationSize;
import io.hornbeamscale.core.route.EngineSpec;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

/** The servers that may get one stream, its backup or its continuation. All methods run on the traffic thread. */
final class StreamCandidates {
    /** The expected length of a response from which on its state is backed up while it runs, in tokens. */
    private static final long MIN_BACKUP_TOKENS = 100;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final TrafficState traffic;
    private final RelayRequest request;
    private final GenerationSize size;

    /**
     * The servers that refused the request or did not accept a connection. None of them gets the request again: a
     * server may repeat its refusal late, and nothing tells that copy from the response to a second send.
     */
    private final Set<String> refused = new HashSet<>();

    /** The servers that are ordered to stop an earlier run, which an order could not tell from a new one. */
    private final Set<String> stopping = new HashSet<>();

    StreamCandidates(TrafficState traffic, RelayRequest request) {
        this.traffic = traffic;
        this.request = request;
        this.size = request.size();
    }

    /** Excludes a server that refused the request or did not accept a connection. */
    void refused(String server) {
        refused.add(server);
    }

    /** Excludes a server while it is ordered to stop an earlier run. */
    void stopping(String server) {
        stopping.add(server);
    }

    /** Ends the exclusion of a server that gets no further order to stop. */
    void stopped(String server) {
        stopping.remove(server);
    }

    /** Returns the registered servers of the service that do not leave as far as the store tells. */
    List<FleetServer> servers() {
        return traffic.fleet().ready(request.service().name());
    }

    /** Returns the terms of the next send. */
    SendTerms terms() {
        return termsExcluding(Set.of());
    }

    /** Returns the terms of the next send, which must not go to some other servers either. */
    SendTerms termsExcluding(Collection<String> others) {
        Set<String> all = new HashSet<>(refused);
        all.addAll(stopping);
        all.addAll(others);
        return request.terms().excluding(all);
    }

    /** Returns whether a server may get the stream now. */
    Verdict check(FleetServer server, long nowMillis) {
        return traffic.eligibility().check(server, terms(), nowMillis);
    }

    /** Returns whether a server, at which a place within its request rates was taken before, may get the stream now. */
    Verdict checkReserved(String server, long nowMillis) {
        return traffic.server(server)
                .map(s -> traffic.eligibility().check(s, terms().reservedAt(s.id()), nowMillis))
                .orElse(Verdict.forbidden(IneligibleReason.LEAVING, Verdict.UNKNOWN));
    }

    /** Chooses the server for a new run, empty if none has room and may get the stream now. */
    Optional<FleetServer> choose(long nowMillis) {
        return traffic.generationPlacement().choose(servers(), engine(), size, terms(), nowMillis, traffic.random());
    }

    /**
     * Chooses the server for a new run of a queued stream, within this entry's share of the room at each server; empty
     * if there is none now.
     */
    Optional<FleetServer> chooseQueued(long nowMillis) {
        Set<String> denied = new HashSet<>();
        while (true) {
            Optional<FleetServer> chosen = traffic.generationPlacement()
                    .choose(servers(), engine(), size, termsExcluding(denied), nowMillis, traffic.random());
            if (chosen.isEmpty() || isWithinShare(chosen.get(), nowMillis)) {
                if (!denied.isEmpty()) {
                    traffic.placeWaitingAfterDraw();
                }
                return chosen;
            }
            denied.add(chosen.get().id());
        }
    }

    private boolean isWithinShare(FleetServer server, long nowMillis) {
        int places = traffic.generationPlacement().places(server, engine(), size, nowMillis);
        return traffic.queuedDemand().tryTake(server.id(), traffic.queuedTokens(), places, nowMillis, traffic.random());
    }

    /** Chooses the server that receives a backup copy while another one runs the stream. */
    Optional<FleetServer> backupFor(FleetServer runsOn, long nowMillis) {
        if (!engine().canBackUp() || size.expectedTokens() < MIN_BACKUP_TOKENS) {
            return Optional.empty();
        }
        return traffic.generationPlacement()
                .chooseBackup(servers(), engine(), size, runsOn, terms(), nowMillis, traffic.random());
    }

    /** Returns a server that holds a backup copy if it may continue the stream, now or after a wait. */
    Optional<FleetServer> usable(Optional<FleetServer> backup, long nowMillis) {
        return backup.flatMap(b -> traffic.server(b.id())).filter(b -> {
            Verdict verdict = traffic.eligibility().check(b, terms().uncounted(), nowMillis);
            return verdict.isAllowed() || verdict.isDeferred();
        });
    }

    /** Returns whether some server takes the stream as soon as it has room, or at a later time. */
    boolean mayBecomeEligible(long nowMillis) {
        return servers().stream()
                .map(s -> check(s, nowMillis))
                .anyMatch(v -> v.isAllowed() || v.earliestMillis() != Verdict.UNKNOWN);
    }

    /** Returns how long no server may get the stream, as far as that is known, 0 if one may get it now. */
    long forbiddenMillis(long nowMillis) {
        return servers().stream()
                .map(s -> check(s, nowMillis))
                .filter(v -> v.earliestMillis() != Verdict.UNKNOWN)
                .mapToLong(v -> v.waitMillis(nowMillis))
                .min()
                .orElse(0);
    }

    /** Returns how long the stream must wait until some server may get it, empty if waiting does not help. */
    OptionalLong earliestWaitMillis(long nowMillis) {
        return traffic.eligibility().earliestWaitMillis(servers(), terms(), nowMillis);
    }

    /** Returns what forbids servers, by reason, empty if all of them may get the stream. */
    String ineligible(long nowMillis) {
        return traffic.eligibility().summary(servers(), terms(), nowMillis);
    }

    /** Returns the number of servers, of which those with a limit count by the prompts that it allows this entry. */
    double serversWithinLimits() {
        double promptsPerSecond =
                AdmissionRequest.PREFILL_TOKENS_PER_MILLI * MILLIS_PER_SECOND / Math.max(1, size.promptTokens());
        return servers().stream()
                .mapToDouble(server -> traffic.limits().requestsPerSecond(server.id()))
                .map(limit -> Math.min(1, limit / promptsPerSecond))
                .sum();
    }

    private EngineSpec engine() {
        return request.service().engine().orElseThrow();
    }
}
