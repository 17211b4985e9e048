package io.hornbeamscale.core.document;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Checks references between entities, and values that depend on other fields or entities. */
final class ReferenceCheck {
    private final DocumentIndex index;
    private final List<DocumentProblem> problems = new ArrayList<>();

    private ReferenceCheck(DocumentIndex index) {
        this.index = index;
    }

    static List<DocumentProblem> check(Document document) {
        ReferenceCheck check = new ReferenceCheck(new DocumentIndex(document));
        for (int i = 0; i < document.services().size(); i++) {
            check.checkService(document.services().get(i), "services[" + i + "]");
        }
        for (int i = 0; i < document.customers().size(); i++) {
            check.checkReferences(
                    EntityKind.SERVICE, document.customers().get(i).services(), "customers[" + i + "].services");
        }
        for (int i = 0; i < document.models().size(); i++) {
            check.checkModel(document.models().get(i), "models[" + i + "]");
        }
        for (int i = 0; i < document.backends().size(); i++) {
            check.checkBackend(document.backends().get(i), "backends[" + i + "]");
        }
        return check.problems;
    }

    private void checkReferences(EntityKind kind, List<String> names, String path) {
        for (int i = 0; i < names.size(); i++) {
            checkReference(kind, names.get(i), path + "[" + i + "]");
        }
    }

    private boolean checkReference(EntityKind kind, String name, String path) {
        if (index.find(kind, name).isPresent()) {
            return true;
        }
        // The check of single fields already reports an empty name.
        if (!name.isEmpty()) {
            add(path, name, "the name of a " + kind.title() + " of this document");
        }
        return false;
    }

    private void checkService(ServiceSpec service, String path) {
        if (service.kind() == ServiceKind.MODEL) {
            if (service.models().isEmpty()) {
                add(path + ".models", "", "at least one model for a model service");
            }
            if (!service.nonIdempotent().isEmpty()) {
                add(path + ".nonIdempotent", service.nonIdempotent().get(0), "empty for a model service");
            }
        } else if (!service.models().isEmpty()) {
            add(path + ".models", service.models().get(0), "empty for a plain service");
        }
        checkReferences(EntityKind.MODEL, service.models(), path + ".models");
    }

    private void checkModel(ModelSpec model, String path) {
        if (model.typicalOutputTokens() > model.maxOutputTokens()) {
            add(
                    path + ".typicalOutputTokens",
                    Integer.toString(model.typicalOutputTokens()),
                    "at most maxOutputTokens (" + model.maxOutputTokens() + ")");
        }
    }

    private void checkBackend(BackendSpec backend, String path) {
        checkReference(EntityKind.REGION, backend.region(), path + ".region");
        Optional<RegionSpec> region = index.region(backend.region());
        if (region.isPresent()
                && !backend.zone().isEmpty()
                && !region.get().zones().contains(backend.zone())) {
            String zones = String.join(", ", region.get().zones());
            add(path + ".zone", backend.zone(), "an availability zone of " + backend.region() + ": " + zones);
        }
        if (checkReference(EntityKind.SERVICE, backend.service(), path + ".service")) {
            ServiceSpec service = index.service(backend.service()).orElseThrow();
            if (service.kind() == ServiceKind.PLAIN) {
                checkPlainBackend(backend, path);
            } else if (service.kind() == ServiceKind.MODEL) {
                checkModelBackend(backend, service, path);
            }
        }
    }

    private void checkPlainBackend(BackendSpec backend, String path) {
        if (!backend.model().isEmpty()) {
            add(path + ".model", backend.model(), "empty for a plain service");
        }
        if (backend.memoryTokens() != 0) {
            add(path + ".memoryTokens", Long.toString(backend.memoryTokens()), "0 for a plain service");
        }
    }

    private void checkModelBackend(BackendSpec backend, ServiceSpec service, String path) {
        if (!service.models().contains(backend.model())) {
            String models = String.join(", ", service.models());
            add(path + ".model", backend.model(), "a model of service " + service.name() + ": " + models);
        }
        // A request may generate up to maxOutputTokens, which it could not finish with less memory.
        int requiredTokens =
                index.model(backend.model()).map(ModelSpec::maxOutputTokens).orElse(1);
        if (backend.memoryTokens() < requiredTokens) {
            add(
                    path + ".memoryTokens",
                    Long.toString(backend.memoryTokens()),
                    "at least " + requiredTokens + ", the maxOutputTokens of its model");
        }
    }

    private void add(String path, String value, String allowed) {
        problems.add(new DocumentProblem(path, value, allowed));
    }
}
