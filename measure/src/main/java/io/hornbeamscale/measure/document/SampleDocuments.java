package io.hornbeamscale.measure.document;

import io.hornbeamscale.core.document.BackendSpec;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.LimitsSpec;
import io.hornbeamscale.core.document.ModelSpec;
import io.hornbeamscale.core.document.RegionSpec;
import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.document.WorkKindSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

/** Valid documents of a given size, with names and values as long as operators write them. */
final class SampleDocuments {
    private static final int MODELS = 6;
    private static final List<String> ZONES = List.of("1-a", "1-b", "1-c", "2-a", "2-b", "2-c", "3-a", "3-b");

    private SampleDocuments() {}

    static Document of(int customers, int backends) {
        List<String> models =
                IntStream.range(0, MODELS).mapToObj(i -> "model-large-" + i).toList();
        List<ServiceSpec> services = List.of(
                new ServiceSpec("generation", ServiceKind.MODEL, models, List.of(), false),
                new ServiceSpec(
                        "booking", ServiceKind.PLAIN, List.of(), List.of("POST /bookings", "DELETE /bookings"), false));
        return new Document(
                services,
                IntStream.range(0, customers)
                        .mapToObj(SampleDocuments::customer)
                        .toList(),
                models.stream()
                        .map(name -> new ModelSpec(name, "2.14.1", List.of("tone-a", "tone-b"), 32_000, 900))
                        .toList(),
                List.of(
                        new WorkKindSpec("interactive", 7, 20_000),
                        new WorkKindSpec("narrative", 4, 120_000),
                        new WorkKindSpec("bulk", 1, 3_600_000)),
                IntStream.range(0, backends).mapToObj(i -> backend(i, models)).toList(),
                regions(),
                LimitsSpec.defaults());
    }

    private static CustomerSpec customer(int number) {
        // Customers have at most two keys, while they replace one.
        List<String> keys = List.of(Sha256.hex("a" + number), Sha256.hex("b" + number));
        return new CustomerSpec(
                String.format("customer-%05d-travel", number), keys, List.of("generation", "booking"), 1, 40, 16_000);
    }

    private static BackendSpec backend(int number, List<String> models) {
        String zone = "zone-" + ZONES.get(number % ZONES.size());
        String address = "10." + number / 62_500 + "." + number / 250 % 250 + "." + (number % 250 + 1) + ":7100";
        return new BackendSpec(
                String.format("generation-%05d", number),
                "generation",
                "region-" + zone.charAt("zone-".length()),
                zone,
                address,
                models.get(number % MODELS),
                1_200_000,
                256,
                true,
                true);
    }

    private static List<RegionSpec> regions() {
        List<RegionSpec> regions = new ArrayList<>();
        for (String region : List.of("1", "2", "3")) {
            List<String> zones = ZONES.stream()
                    .filter(zone -> zone.startsWith(region))
                    .map(zone -> "zone-" + zone)
                    .toList();
            regions.add(new RegionSpec("region-" + region, zones, 2_500_000));
        }
        return regions;
    }

    /** Returns a copy of the document with another weight for one customer. */
    static Document withCustomerWeight(Document document, int index, double weight) {
        List<CustomerSpec> customers = new ArrayList<>(document.customers());
        CustomerSpec old = customers.get(index % customers.size());
        customers.set(
                index % customers.size(),
                new CustomerSpec(
                        old.name(),
                        old.keyHashes(),
                        old.services(),
                        weight,
                        old.requestsPerSecond(),
                        old.tokensPerSecond()));
        return new Document(
                document.services(),
                customers,
                document.models(),
                document.workKinds(),
                document.backends(),
                document.regions(),
                document.limits());
    }
}
