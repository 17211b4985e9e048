package io.hornbeamscale.core.document;

import io.hornbeamscale.core.util.Arguments;
import java.util.ArrayList;
import java.util.List;

/** Finds changes that disrupt running requests or their callers. */
public final class ChangeWarnings {
    private final List<ChangeWarning> warnings = new ArrayList<>();

    private ChangeWarnings() {}

    /**
     * Finds the disruptive parts of a change.
     *
     * @param diff the change including the earlier states of entities, not null
     * @return the warnings in the order of the changes, never null
     */
    public static List<ChangeWarning> of(DocumentDiff diff) {
        Arguments.notNull(diff, "diff");
        ChangeWarnings found = new ChangeWarnings();
        diff.changes().forEach(found::check);
        return List.copyOf(found.warnings);
    }

    private void check(EntityChange change) {
        if (change.before() == null) {
            return;
        }
        if (change.isRemoved()) {
            checkRemoval(change);
        } else if (change.before() instanceof BackendSpec before) {
            checkBackend(change, before, (BackendSpec) change.after());
        } else if (change.before() instanceof CustomerSpec before) {
            checkCustomer(change, before, (CustomerSpec) change.after());
        } else if (change.before() instanceof ServiceSpec before) {
            checkService(change, before, (ServiceSpec) change.after());
        } else if (change.before() instanceof ModelSpec before) {
            checkModel(change, before, (ModelSpec) change.after());
        } else if (change.before() instanceof LimitsSpec before) {
            checkLimits(change, before, (LimitsSpec) change.after());
        }
    }

    private void checkRemoval(EntityChange change) {
        String text = switch (change.kind()) {
            case SERVICE -> "is removed: its callers are refused with not_found, running requests finish";
            case CUSTOMER -> "is removed: its keys stop working, open streams cannot be resumed";
            case MODEL -> "is removed: requests that name it are refused with not_found";
            case WORK_KIND -> "is removed: waiting requests of this kind lose its priority";
            case BACKEND -> "is removed: it receives no new work; running requests finish within drainMillis or end";
            case REGION -> "is removed: its link budget ends";
        };
        add(change, text);
    }

    private void checkBackend(EntityChange change, BackendSpec before, BackendSpec after) {
        warnIfLowered(change, "memoryTokens", before.memoryTokens(), after.memoryTokens(), "running work may not fit");
        warnIfLowered(change, "maxRunning", before.maxRunning(), after.maxRunning(), "running work may exceed it");
        warnIfMoved(change, "service", before.service(), after.service());
        warnIfMoved(change, "model", before.model(), after.model());
        warnIfMoved(change, "address", before.address(), after.address());
        warnIfMoved(change, "zone", before.zone(), after.zone());
    }

    private void checkCustomer(EntityChange change, CustomerSpec before, CustomerSpec after) {
        warnIfLost(
                change, "services", before.services(), after.services(), "requests to it are refused with forbidden");
        if (!after.keyHashes().containsAll(before.keyHashes())) {
            add(change, "keyHashes loses a key: callers that still use it are refused with unauthorized");
        }
    }

    private void checkService(EntityChange change, ServiceSpec before, ServiceSpec after) {
        if (before.kind() != after.kind()) {
            add(change, "kind changes: requests in flight were accepted under the other kind");
        }
        warnIfLost(
                change, "models", before.models(), after.models(), "requests that name it are refused with not_found");
        warnIfLost(
                change,
                "nonIdempotent",
                before.nonIdempotent(),
                after.nonIdempotent(),
                "these calls may be repeated after a failure");
        if (!before.deduplicatesKeys() && after.deduplicatesKeys()) {
            add(change, "deduplicatesKeys is set: keyed calls are no longer claimed in the store");
        }
    }

    private void checkModel(EntityChange change, ModelSpec before, ModelSpec after) {
        warnIfLowered(
                change,
                "maxOutputTokens",
                before.maxOutputTokens(),
                after.maxOutputTokens(),
                "longer requests are cut or refused");
        if (!before.version().equals(after.version())) {
            add(change, "version changes: its engines reload it, rolloutPercent of a service at a time");
        }
        warnIfLost(change, "adapters", before.adapters(), after.adapters(), "requests that name it are refused");
    }

    private void checkLimits(EntityChange change, LimitsSpec before, LimitsSpec after) {
        warnIfLowered(
                change,
                "drainMillis",
                before.drainMillis(),
                after.drainMillis(),
                "long responses may be cut when a process stops");
        warnIfLowered(
                change,
                "retainMillis",
                before.retainMillis(),
                after.retainMillis(),
                "interrupted callers have less time to resume");
        warnIfLowered(
                change,
                "claimRetentionMillis",
                before.claimRetentionMillis(),
                after.claimRetentionMillis(),
                "a late resend of a keyed call may run again");
    }

    private void warnIfLowered(EntityChange change, String field, long before, long after, String consequence) {
        if (after < before) {
            add(change, field + " is lowered from " + before + " to " + after + ": " + consequence);
        }
    }

    private void warnIfMoved(EntityChange change, String field, String before, String after) {
        if (!before.equals(after)) {
            add(
                    change,
                    field + " changes from \"" + before + "\" to \"" + after
                            + "\": the backend server must finish its running work first");
        }
    }

    private void warnIfLost(
            EntityChange change, String field, List<String> before, List<String> after, String consequence) {
        for (String item : before) {
            if (!after.contains(item)) {
                add(change, field + " loses \"" + item + "\": " + consequence);
            }
        }
    }

    private void add(EntityChange change, String text) {
        warnings.add(new ChangeWarning(change.id(), text));
    }
}
