package io.hornbeamscale.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.id.CustomerId;
import io.hornbeamscale.core.id.NodeId;
import io.hornbeamscale.core.limit.CustomerLimiter;
import io.hornbeamscale.core.limit.CustomerRates;
import io.hornbeamscale.core.limit.LimitCoordinator;
import io.hornbeamscale.core.util.Arguments;
import io.hornbeamscale.wire.message.LimitShareMessage;
import io.hornbeamscale.wire.message.Message;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Exchanges the demand for customers' limits and the leases of them between entries. Each customer has one entry as its
 * coordinator, which is chosen by rendezvous hashing over the live entries. Used on the control thread.
 */
public final class CustomerLimitExchange {
    private static final long LEASE_MILLIS = 6_000;
    private static final long DEMAND_PERIOD_MILLIS = 2_000;
    private static final String DEMAND_KIND = "demand";
    private static final String LEASE_KIND = "lease";
    private static final ObjectMapper JSON = new ObjectMapper();

    private final NodeId self;
    private final CustomerLimiter limiter;
    private final BiConsumer<NodeId, Message> sender;
    private final LimitCoordinator coordinator = new LimitCoordinator(LEASE_MILLIS);
    private List<CustomerRates> limits = List.of();
    private List<NodeId> entriesChanged;
    private long nextDemandMillis;

    /**
     * Creates the exchange of one entry.
     *
     * @param self the entry, not null
     * @param limiter the limiter that admits the entry's requests, not null
     * @param sender sends a message to another entry, not null
     */
    public CustomerLimitExchange(NodeId self, CustomerLimiter limiter, BiConsumer<NodeId, Message> sender) {
        this.self = Arguments.notNull(self, "self");
        this.limiter = Arguments.notNull(limiter, "limiter");
        this.sender = Arguments.notNull(sender, "sender");
        this.entriesChanged = List.of(self);
    }

    /**
     * Applies the limits of a document.
     *
     * @param document the document, not null
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void apply(Document document, long nowMillis) {
        List<CustomerRates> next = new ArrayList<>();
        for (CustomerSpec c : document.customers()) {
            next.add(new CustomerRates(new CustomerId(c.name()), c.requestsPerSecond(), c.tokensPerSecond()));
        }
        limits = next;
        coordinator.configure(limits);
        limiter.configure(limits, entriesChanged.size(), nowMillis);
    }

    /**
     * Handles a change of the set of live entries.
     *
     * @param live the live entries, not null; this entry may be missing
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void entriesChanged(List<NodeId> live, long nowMillis) {
        List<NodeId> next = new ArrayList<>(live);
        if (!next.contains(self)) {
            next.add(self);
        }
        entriesChanged = List.copyOf(next);
        for (CustomerRates l : limits) {
            if (!LimitCoordinator.isCoordinator(self, entriesChanged, l.customer())) {
                coordinator.resign(l.customer());
            }
        }
        limiter.configure(limits, entriesChanged.size(), nowMillis);
    }

    /**
     * Sends the demand of the last period to the coordinators, if a period has passed.
     *
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     */
    public void tick(long nowMillis) {
        if (nowMillis < nextDemandMillis) {
            return;
        }
        nextDemandMillis = nowMillis + DEMAND_PERIOD_MILLIS;
        Map<NodeId, List<CustomerRates>> demands = new HashMap<>();
        for (CustomerRates demand : limiter.demand(nowMillis)) {
            demands.computeIfAbsent(coordinatorOf(demand.customer()), k -> new ArrayList<>())
                    .add(demand);
        }
        demands.forEach((node, list) -> {
            if (node.equals(self)) {
                list.forEach(d ->
                        limiter.leased(coordinator.lease(self, d, nowMillis), coordinator.leaseMillis(), nowMillis));
            } else {
                sender.accept(node, new LimitShareMessage(DEMAND_KIND, write(list)));
            }
        });
    }

    /**
     * Handles a demand or a lease from another entry.
     *
     * @param from the other entry, not null
     * @param message the message, not null
     * @param nowMillis the current time of the monotonic clock, in milliseconds
     * @throws ServingException of kind {@link ErrorKind#BAD_FRAME} if the content is not a list of rates
     */
    public void received(NodeId from, LimitShareMessage message, long nowMillis) {
        List<CustomerRates> rates = read(message.content());
        if (message.kind().equals(LEASE_KIND)) {
            rates.forEach(lease -> limiter.leased(lease, LEASE_MILLIS, nowMillis));
        } else if (message.kind().equals(DEMAND_KIND)) {
            List<CustomerRates> leases = new ArrayList<>();
            for (CustomerRates demand : rates) {
                if (LimitCoordinator.isCoordinator(self, entriesChanged, demand.customer())) {
                    leases.add(coordinator.lease(from, demand, nowMillis));
                }
            }
            sender.accept(from, new LimitShareMessage(LEASE_KIND, write(leases)));
        }
    }

    private NodeId coordinatorOf(CustomerId customer) {
        for (NodeId entry : entriesChanged) {
            if (LimitCoordinator.isCoordinator(entry, entriesChanged, customer)) {
                return entry;
            }
        }
        return self;
    }

    private static String write(List<CustomerRates> rates) {
        List<RatesJson> list = rates.stream()
                .map(r -> new RatesJson(r.customer().value(), r.requestsPerSecond(), r.tokensPerSecond()))
                .toList();
        try {
            return JSON.writeValueAsString(list);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode the customers' rates", e);
        }
    }

    private static List<CustomerRates> read(String content) {
        try {
            List<CustomerRates> list = new ArrayList<>();
            for (RatesJson r : JSON.readValue(content, RatesJson[].class)) {
                list.add(new CustomerRates(new CustomerId(r.customer()), r.requests(), r.tokens()));
            }
            return list;
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw new ServingException(ErrorKind.BAD_FRAME, "rates of customers are malformed: " + e.getMessage());
        }
    }

    private record RatesJson(String customer, double requests, double tokens) {}
}
