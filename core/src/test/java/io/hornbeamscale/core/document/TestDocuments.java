package io.hornbeamscale.core.document;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.IntStream;

/** Documents for tests. */
public final class TestDocuments {
    private TestDocuments() {}

    /** Reads a file by its path relative to the root of the project. */
    public static String file(String path) {
        try {
            return Files.readString(Path.of("..", path));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the document of the example deployment "tours". */
    public static Document tours() {
        return DocumentYaml.read(file("examples/tours.yaml")).document();
    }

    /** Returns a copy of a document with other customers. */
    public static Document withCustomers(Document from, List<CustomerSpec> customers) {
        return new Document(
                from.services(),
                customers,
                from.models(),
                from.workKinds(),
                from.backends(),
                from.regions(),
                from.limits());
    }

    /** Returns a copy of a document with other backend servers. */
    public static Document withBackends(Document from, List<BackendSpec> backends) {
        return new Document(
                from.services(),
                from.customers(),
                from.models(),
                from.workKinds(),
                backends,
                from.regions(),
                from.limits());
    }

    /** Returns customers that may not call any service. */
    public static List<CustomerSpec> customers(int count) {
        return IntStream.range(0, count)
                .mapToObj(
                        i -> new CustomerSpec("customer-" + i, List.of(Sha256.hex("key-" + i)), List.of(), 1, 10, 1000))
                .toList();
    }
}
