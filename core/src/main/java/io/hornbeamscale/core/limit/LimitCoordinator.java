package io.hornbeamscale.core.limit;

import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.util.Arguments;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Leases one half of a customer's limits to entries in proportion to their demand. The valid leases never exceed that
 * half: a new coordinator leases nothing until all leases of its predecessor have expired. If the entries are
 * partitioned into k isolated groups, they admit at most (1+k)/2 times the limit. Not safe for use by several threads.
 */
public final class LimitCoordinator {
    private final long leaseMillis;
    private final Map<CustomerId, CustomerRates> limits = new HashMap<>();
    private final Map<CustomerId, CustomerLeases> leasesByCustomer = new HashMap<>();

    /**
     * Creates a coordinator.
     *
     * @param leaseMillis how long a lease is valid, in milliseconds, greater than 0
     */
    public LimitCoordinator(long leaseMillis) {
        this.leaseMillis = Arguments.positive(leaseMillis, "leaseMillis");
    }

    /**
     * Returns whether an entry is the coordinator of a customer. The coordinator is the live entry with the highest
     * hash rank for the customer.
     *
     * @param self the entry, not null
     * @param entries the live entries, not null
     * @param customer the customer, not null
     * @return whether no live entry has a higher rank
     */
    public static boolean isCoordinator(NodeId self, Collection<NodeId> entries, CustomerId customer) {
        long own = HashRanks.rank(self.value(), customer.value());
        for (NodeId e : entries) {
            long rank = HashRanks.rank(e.value(), customer.value());
            if (rank > own || (rank == own && e.value().compareTo(self.value()) > 0)) {
                return false;
            }
        }
        return true;
    }

    /**
     * Replaces the limits.
     *
     * @param next the limits over all entries, not null
     */
    public void configure(Collection<CustomerRates> next) {
        limits.clear();
        next.forEach(l -> limits.put(l.customer(), l));
        leasesByCustomer.keySet().retainAll(limits.keySet());
    }

    /**
     * Stops coordinating a customer, for which another entry now has the highest rank.
     *
     * @param customer the customer, not null
     */
    public void resign(CustomerId customer) {
        leasesByCustomer.remove(customer);
    }

    /**
     * Returns how long a lease is valid.
     *
     * @return the time in milliseconds
     */
    public long leaseMillis() {
        return leaseMillis;
    }

    /**
     * Grants a lease for the demand of an entry.
     *
     * @param entry the entry, not null
     * @param demand its demand, not null
     * @param nowMillis the present time
     * @return the leased rates, valid for the lease time; zero rates for a customer without a limit, and while leases
     *     of a former coordinator may be valid; never null
     */
    public CustomerRates lease(NodeId entry, CustomerRates demand, long nowMillis) {
        CustomerRates limit = limits.get(demand.customer());
        if (limit == null) {
            return new CustomerRates(demand.customer(), 0, 0);
        }
        CustomerLeases d =
                leasesByCustomer.computeIfAbsent(demand.customer(), k -> new CustomerLeases(nowMillis + leaseMillis));
        d.leases.values().removeIf(l -> nowMillis >= l.untilMillis);
        if (nowMillis < d.firstLeaseMillis) {
            return new CustomerRates(demand.customer(), 0, 0);
        }
        d.leases.remove(entry);
        d.demands.put(entry, new Lease(demand, nowMillis + 2 * leaseMillis));
        d.demands.values().removeIf(l -> nowMillis >= l.untilMillis);
        double requests = share(d, limit.requestsPerSecond() / 2, demand, CustomerRates::requestsPerSecond);
        double tokens = share(d, limit.tokensPerSecond() / 2, demand, CustomerRates::tokensPerSecond);
        CustomerRates lease = new CustomerRates(demand.customer(), requests, tokens);
        d.leases.put(entry, new Lease(lease, nowMillis + leaseMillis));
        return lease;
    }

    private static double share(
            CustomerLeases d,
            double half,
            CustomerRates demand,
            java.util.function.ToDoubleFunction<CustomerRates> rate) {
        double totalDemand = d.demands.values().stream()
                .mapToDouble(l -> rate.applyAsDouble(l.rates))
                .sum();
        double leased = d.leases.values().stream()
                .mapToDouble(l -> rate.applyAsDouble(l.rates))
                .sum();
        double fairShare = totalDemand <= 0 ? 0 : half * rate.applyAsDouble(demand) / totalDemand;
        return Math.max(0, Math.min(fairShare, half - leased));
    }

    private record Lease(CustomerRates rates, long untilMillis) {}

    private static final class CustomerLeases {
        final long firstLeaseMillis;
        final Map<NodeId, Lease> leases = new HashMap<>();
        final Map<NodeId, Lease> demands = new HashMap<>();

        CustomerLeases(long firstLeaseMillis) {
            this.firstLeaseMillis = firstLeaseMillis;
        }
    }
}
