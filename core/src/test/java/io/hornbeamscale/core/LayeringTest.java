package io.hornbeamscale.core;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.properties.HasName;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.lang.ArchRule;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against decision logic that cannot be replayed in a simulation because it opens a port, starts a thread, reads
 * a clock or uses a random source without a seed.
 */
class LayeringTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            // ArchUnit's predefined option to exclude tests only recognizes a target/test-classes folder inside the
            // module.
            .withImportOption(location -> !location.contains("/test-classes/"))
            .importPackages("io.hornbeamscale.core");

    @Nested
    class Core {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "java.net..",
                    "java.nio.channels..",
                    "java.nio.file..",
                    "java.time..",
                    "io.undertow..",
                    "org.xnio..",
                    "org.apache.logging..",
                    "com.codahale..",
                    "io.hornbeamscale.wire..",
                    "io.hornbeamscale.external..",
                    "io.hornbeamscale.daemon.."
                })
        void doesNotDependOn(String forbidden) {
            ArchRule rule = noClasses().should().dependOnClassesThat().resideInAPackage(forbidden);
            rule.check(CORE);
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "java.lang.Thread",
                    "java.util.Timer",
                    "java.util.concurrent.Executors",
                    "java.util.concurrent.CompletableFuture",
                    "java.util.concurrent.ThreadLocalRandom",
                    "java.security.SecureRandom"
                })
        void doesNotUse(String forbidden) {
            ArchRule rule = noClasses().should().dependOnClassesThat().haveFullyQualifiedName(forbidden);
            rule.check(CORE);
        }

        @ParameterizedTest
        @CsvSource({
            "java.lang.System, currentTimeMillis",
            "java.lang.System, nanoTime",
            "java.lang.Math, random",
            "java.util.UUID, randomUUID"
        })
        void doesNotCall(String type, String method) {
            ArchRule rule = noClasses()
                    .should()
                    .callMethodWhere(target(nameMatching(method)).and(target(owner(HasName.Predicates.name(type)))));
            rule.check(CORE);
        }

        @Test
        void createsNoRandomSourceWithoutSeed() {
            ArchRule rule = noClasses().should().callConstructor(java.util.Random.class);
            rule.check(CORE);
        }
    }
}
