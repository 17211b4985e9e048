package io.hornbeamscale.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.core.audit.PublishedHead;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.DocumentIndex;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.store.StoreCall;
import io.hornbeamscale.core.store.StoreReply;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against changes without a session or CSRF token, script injection, lost input, and keys shown twice. */
class ConsoleTest {
    private final ConsoleClient client = new ConsoleClient();

    private PublishedHead head() {
        StoreReply reply = client.store
                .execute(new StoreCall.Get(PublishedHead.KEY))
                .toCompletableFuture()
                .join();
        return reply instanceof StoreReply.Found found ? PublishedHead.decode(found.value()) : PublishedHead.none();
    }

    private static Map<String, List<String>> customer(String name, String weight) {
        Map<String, List<String>> fields = new LinkedHashMap<>();
        fields.put("name", List.of(name));
        fields.put("services", List.of("guide", "booking"));
        fields.put("weight", List.of(weight));
        fields.put("requestsPerSecond", List.of("5"));
        fields.put("tokensPerSecond", List.of("500"));
        return fields;
    }

    private void publishAndSignIn() {
        client.publish(0, ConsoleClient.toursDocument());
        client.signIn();
    }

    @Nested
    class Access {
        @ParameterizedTest
        @ValueSource(
                strings = {
                    "/console/", "/console/customers", "/console/customers/new", "/console/limits",
                    "/console/history", "/console/history/1", "/console/audit", "/console/nothing"
                })
        void requiresASession(String path) {
            client.publish(0, ConsoleClient.toursDocument());
            ConsoleResponse response = client.get(path);
            assertTrue(response.body().contains("<h1>Sign in</h1>"));
            assertFalse(response.body().contains("petra-tours"));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {
                    "/console/customers/review", "/console/customers/publish", "/console/customers/form",
                    "/console/limits/publish", "/console/history/1", "/console/logout"
                })
        void refusesFormsWithoutTheCsrfToken(String path) {
            publishAndSignIn();
            for (String token : List.of("", "0".repeat(64))) {
                ConsoleResponse response = client.post(path, Map.of("csrf", token, "expect", "1", "why", "x"));
                assertEquals(403, response.status());
            }
            assertEquals(1, head().version());
        }

        @Test
        void refusesFormsFromOtherSites() {
            publishAndSignIn();
            client.get("/console/customers/new");
            Map<String, List<String>> fields = client.hiddenFields();
            ConsoleRequest request =
                    new ConsoleRequest("POST", "/console/logout", fields, client.cookie, "10.0.0.9", true);
            assertEquals(403, client.send(request).status());
        }

        @ParameterizedTest
        @CsvSource({"0, true", "1799999, true", "1800000, false", "99999999, false"})
        void endsIdleSessions(long idleMillis, boolean isSignedIn) {
            publishAndSignIn();
            client.now += idleMillis;
            assertEquals(isSignedIn, client.get("/console/").body().contains("<h1>Overview</h1>"));
        }

        @Test
        void endsOldSessions() {
            publishAndSignIn();
            for (int i = 0; i < 100; i++) {
                client.now += SessionTokens.IDLE_TIMEOUT_MILLIS - 1;
                client.get("/console/");
            }
            assertTrue(client.last.body().contains("<h1>Sign in</h1>"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"", "x", "a.b.c.d.e", "....", "bmFkaWE.00.0.99999999999999.00"})
        void refusesForgedSessions(String cookie) {
            client.cookie = cookie;
            assertTrue(client.get("/console/").body().contains("<h1>Sign in</h1>"));
        }

        @Test
        void throttlesPasswordGuessing() {
            for (int i = 0; i < LoginThrottle.MAX_FAILURES; i++) {
                assertEquals(
                        401,
                        client.post("/console/login", Map.of("operator", "nadia", "password", "no"))
                                .status());
            }
            assertEquals(429, client.signIn().last.status());
            client.now += LoginThrottle.WINDOW_MILLIS;
            assertEquals(303, client.signIn().last.status());
        }

        @ParameterizedTest
        @CsvSource({
            "https://evil.example/, /console/",
            "//evil.example/, /console/",
            "/console//evil, /console//evil",
            "/console/customers, /console/customers"
        })
        void doesNotRedirectToOtherSites(String next, String location) {
            client.post(
                    "/console/login", Map.of("operator", "nadia", "password", ConsoleClient.PASSWORD, "next", next));
            assertEquals(location, client.last.location());
        }
    }

    @Nested
    class Editing {
        @Test
        void showsANewKeyOnceAndStoresItsDigest() {
            publishAndSignIn();
            client.get("/console/customers/new");
            Map<String, List<String>> input = customer("new-one", "2.5");
            input.put("newKey", List.of("yes"));
            client.submit("/console/customers/review", input);
            assertTrue(client.last.body().contains("+ customers/new-one"), client.last.body());
            client.submit("/console/customers/publish", Map.of("why", List.of("contract 7")));
            Matcher key = Pattern.compile("hb-[A-Za-z0-9_-]{43}").matcher(client.last.body());
            assertTrue(key.find(), client.last.body());
            CustomerSpec stored = new DocumentIndex(head().document())
                    .customerByKeyDigest(Sha256.hex(key.group()))
                    .orElseThrow();
            assertEquals(2.5, stored.weight());
            assertEquals("contract 7", head().trail().entries().get(1).why());
            assertEquals("nadia", head().trail().entries().get(1).operator());
            assertFalse(head().encode().contains(key.group()));
            for (String path : List.of("/console/customers", "/console/customers/new-one", "/console/history/2")) {
                assertFalse(client.get(path).body().contains(key.group()));
            }
        }

        @ParameterizedTest
        @CsvSource({"name, Bad Name, name", "weight, heavy, weight", "weight, 0, weight", "services, ghost, services"})
        void linksErrorsToFieldsAndKeepsInput(String field, String value, String target) {
            publishAndSignIn();
            client.get("/console/customers/new");
            Map<String, List<String>> input = customer("new-one", "2.5");
            input.put(field, List.of(value));
            ConsoleResponse response = client.submit("/console/customers/review", input);
            assertEquals(422, response.status());
            assertTrue(response.body().contains("<a href=\"#" + target + "\">"), response.body());
            assertTrue(response.body().contains("aria-invalid=\"true\""));
            assertTrue(response.body().contains("value=\"" + value + "\""));
        }

        @ParameterizedTest
        @ValueSource(
                strings = {"<script>alert(1)</script>", "\"><img src=x onerror=alert(1)>", "${7*7}", "'-->", "&lt;"})
        void escapesInput(String evil) {
            publishAndSignIn();
            client.get("/console/customers/new");
            String page = client.submit("/console/customers/review", customer(evil, "1"))
                    .body();
            assertFalse(page.contains("<script>") || page.contains("<img") || page.contains("value=\"49\""));
            client.get("/console/customers/new");
            Map<String, List<String>> input = customer("fine", "1");
            client.submit("/console/customers/review", input);
            client.submit("/console/customers/publish", Map.of("why", List.of(evil)));
            assertEquals(evil, head().trail().entries().get(1).why());
            page = client.get("/console/history").body()
                    + client.get("/console/history/2").body()
                    + client.get("/console/").body();
            assertFalse(page.contains("<script>") || page.contains("<img") || page.contains(">49<"));
        }

        @Test
        void refusesToRemoveReferencedEntities() {
            publishAndSignIn();
            client.get("/console/services/guide");
            ConsoleResponse response = client.submit("/console/services/review", Map.of("remove", List.of("yes")));
            assertEquals(422, response.status());
            assertTrue(response.body().contains("Elsewhere in the document: customers[0].services"), response.body());
        }

        @Test
        void requiresAReasonAndAcceptedWarnings() {
            publishAndSignIn();
            client.get("/console/backends/guide-1");
            client.submit("/console/backends/review", Map.of("remove", List.of("yes")));
            assertTrue(client.last.body().contains("it receives no new work"));
            assertEquals(
                    422,
                    client.submit("/console/backends/publish", Map.of("why", List.of("")))
                            .status());
            assertTrue(client.last.body().contains("<a href=\"#why\">"));
            assertEquals(
                    422,
                    client.submit("/console/backends/publish", Map.of("why", List.of("x")))
                            .status());
            assertTrue(client.last.body().contains("<a href=\"#accept\">"));
            assertEquals(1, head().version());
            Map<String, List<String>> accepted = Map.of("why", List.of("x"), "accept", List.of("yes"));
            assertEquals(
                    200, client.submit("/console/backends/publish", accepted).status());
            assertEquals(2, head().version());
        }

        @ParameterizedTest
        @ValueSource(strings = {"services", "customers", "models", "workKinds", "backends", "regions", "limits"})
        void opensEveryFormWithoutLosingValues(String key) {
            publishAndSignIn();
            DocumentSection section = DocumentSection.of(key).orElseThrow();
            Document document = head().document();
            assertEquals(200, client.get("/console/" + key).status());
            for (Record entry : section.entries(document)) {
                String name = section.isList()
                        ? section.fields().get(0).textsOf(entry).get(0)
                        : "";
                EntityForm form = EntityForm.of(section, entry, name);
                assertEquals(document, form.applyTo(document).document());
                assertEquals(200, client.get("/console/" + key + "/" + name).status());
            }
        }
    }

    @Nested
    class Interruptions {
        @Test
        void showBothChangesOfAConflictAndKeepInput() {
            publishAndSignIn();
            client.get("/console/customers/new");
            client.submit("/console/customers/review", customer("mine", "3.25"));
            Document tours = ConsoleClient.toursDocument();
            Document theirs = new Document(
                    tours.services(),
                    tours.customers().subList(1, 10),
                    tours.models(),
                    tours.workKinds(),
                    tours.backends(),
                    tours.regions(),
                    tours.limits());
            client.publish(1, theirs);
            ConsoleResponse response = client.submit("/console/customers/publish", Map.of("why", List.of("my reason")));
            assertEquals(409, response.status());
            assertTrue(response.body().contains("- customers/petra-tours"));
            assertTrue(response.body().contains("+ customers/mine"));
            assertTrue(response.body().contains("Version 2 by omar"));
            assertEquals(List.of("3.25"), client.hiddenFields().get("weight"));
            client.submit("/console/customers/review", Map.of());
            assertTrue(client.last.body().contains("value=\"my reason\""));
            client.submit("/console/customers/publish", Map.of("why", List.of("my reason")));
            assertEquals(3, head().version());
            assertEquals(10, head().document().customers().size());
        }

        @Test
        void ofTheStoreKeepInputAndReportThatNothingChanged() {
            publishAndSignIn();
            client.get("/console/customers/new");
            client.submit("/console/customers/review", customer("mine", "3.25"));
            client.store.setDown(true);
            ConsoleResponse response = client.submit("/console/customers/publish", Map.of("why", List.of("x")));
            assertEquals(503, response.status());
            assertTrue(response.body().contains("Nothing was changed."));
            client.store.setDown(false);
            client.submit("/console/customers/form", Map.of());
            assertTrue(client.last.body().contains("value=\"3.25\""));
        }

        @Test
        void ofTheSessionKeepInput() {
            publishAndSignIn();
            client.get("/console/customers/new");
            Map<String, List<String>> input = customer("mine", "3.25");
            client.now += SessionTokens.IDLE_TIMEOUT_MILLIS;
            ConsoleResponse response = client.submit("/console/customers/review", input);
            assertEquals(401, response.status());
            assertNull(response.cookie());
            client.submit(
                    "/console/login",
                    Map.of("operator", List.of("nadia"), "password", List.of(ConsoleClient.PASSWORD)));
            assertTrue(client.last.body().contains("action=\"/console/customers/form\""));
            client.submit("/console/customers/form", Map.of());
            assertTrue(client.last.body().contains("value=\"3.25\""), client.last.body());
            assertEquals(1, head().version());
        }
    }

    @Nested
    class HistoryPage {
        @Test
        void rollsBackWithAReason() {
            publishAndSignIn();
            client.publish(1, Document.empty());
            client.get("/console/history/1");
            assertEquals(
                    422,
                    client.submit("/console/history/1", Map.of("why", List.of("")))
                            .status());
            assertEquals(
                    303,
                    client.submit("/console/history/1", Map.of("why", List.of("back")))
                            .status());
            assertEquals("rollback to 1", head().trail().entries().get(2).action());
            assertEquals(11, head().document().backends().size());
            assertEquals(404, client.get("/console/history/9").status());
            assertEquals(200, client.get("/console/audit").status());
        }
    }
}
