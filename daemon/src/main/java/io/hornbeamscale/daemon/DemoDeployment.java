package io.hornbeamscale.daemon;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.document.BackendSpec;
import io.hornbeamscale.core.document.CustomerSpec;
import io.hornbeamscale.core.document.Document;
import io.hornbeamscale.core.document.ModelSpec;
import io.hornbeamscale.core.document.RegionSpec;
import io.hornbeamscale.core.document.ServiceKind;
import io.hornbeamscale.core.document.ServiceSpec;
import io.hornbeamscale.core.document.Sha256;
import io.hornbeamscale.core.document.WorkKindSpec;
import io.hornbeamscale.core.drain.DrainReason;
import io.hornbeamscale.daemon.demo.DemoReport;
import io.hornbeamscale.standin.EngineStandIn;
import io.hornbeamscale.standin.EngineTokens;
import io.hornbeamscale.standin.PlainStandIn;
import io.hornbeamscale.standin.StoreStandIn;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/** A small deployment for the demo: two model runners and one plain runner behind one entry, on loopback sockets. */
final class DemoDeployment implements AutoCloseable {
    private static final String API_KEY = "sk-demo-0123456789";
    private static final int LONG_TOKENS = 1_500;
    private static final int SHORT_TOKENS = 30;
    private static final long WAIT_SECONDS = 60;

    private final String name;
    private final String plainService;
    private final DemoReport report;
    private final EngineStandIn[] engines = new EngineStandIn[2];
    private final PlainStandIn plainServer =
            PlainStandIn.builder().workMillis(50).build();
    private final StoreStandIn store = StoreStandIn.builder().build();
    private final List<AgentDaemon> agents = new ArrayList<>();
    private final EntryDaemon entry;
    private final HttpClient http = HttpClient.newHttpClient();
    private final String baseUri;

    private DemoDeployment(String name, List<String> regions, String plainService, DemoReport report)
            throws InterruptedException {
        this.name = name;
        this.plainService = plainService;
        this.report = report;
        List<BackendSpec> backends = new ArrayList<>();
        String region = regions.get(0);
        for (int i = 0; i < engines.length; i++) {
            engines[i] = EngineStandIn.builder().tokenMicros(2_000).build();
            String address = startAgent("runner-" + i, region, engines[i].start(), "model");
            backends.add(new BackendSpec(
                    "runner-" + i, "texts", region, region + "-a", address, "teller", 100_000, 64, true, false));
        }
        String address = startAgent("plain-0", region, plainServer.start(), "plain");
        backends.add(new BackendSpec("plain-0", plainService, region, region + "-a", address, "", 0, 16, true, false));
        InetSocketAddress free = Addresses.loopback(0);
        URI storeUri = URI.create("http://" + Addresses.format(store.start()));
        entry = new EntryDaemon(new EntrySettings(
                "entry-0",
                region,
                region + "-a",
                free,
                free,
                free,
                List.of(),
                region,
                null,
                storeUri,
                null,
                null,
                32 * 1024,
                1_000,
                "text"));
        baseUri = "http://" + Addresses.format(entry.start());
        entry.setDocument(document(regions, backends));
        await("the agents are connected", () -> entry.knownAgents() == agents.size());
    }

    /** Starts a deployment, runs all checks and reports their results. */
    static void run(String name, List<String> regions, String plainService, DemoReport report) {
        report.print("Deployment " + name + ": two model runners, one plain runner, one entry.");
        try (DemoDeployment demo = new DemoDeployment(name, regions, plainService, report)) {
            demo.checkShortBesideLong();
            demo.checkRepeatedKey();
            demo.checkServerCrash();
            demo.checkDrain();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            report.expect(name, "the demonstration runs to its end", false, e.toString());
        }
    }

    /** Starts a deployment and serves requests until the process is stopped. */
    static void serve(String name, List<String> regions, String plainService, DemoReport report) {
        try (DemoDeployment demo = new DemoDeployment(name, regions, plainService, report)) {
            report.print("export ENTRY=" + demo.baseUri + " KEY=" + API_KEY + " ADMIN=http://"
                    + Addresses.format(demo.entry.adminAddress()));
            new CountDownLatch(1).await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        entry.close();
        agents.forEach(AgentDaemon::close);
        for (EngineStandIn engine : engines) {
            engine.close();
        }
        plainServer.close();
        store.close();
    }

    private void checkShortBesideLong() throws Exception {
        report.print("A long streamed response starts, and a short one beside it.");
        CompletableFuture<String> longCall = send(completion("a long narrative", LONG_TOKENS, true));
        awaitRunning();
        String shortBody = send(completion("a short note", SHORT_TOKENS, true)).get();
        boolean isLongRunning = !longCall.isDone();
        String longBody = longCall.get();
        expectComplete("the short response is complete", shortBody, "a short note", SHORT_TOKENS);
        report.expect(name, "the short response does not wait for the long one", isLongRunning, "" + isLongRunning);
        expectComplete("the long response is complete and in order", longBody, "a long narrative", LONG_TOKENS);
    }

    private void checkRepeatedKey() throws Exception {
        report.print("A call that must not be repeated is sent twice with one key.");
        String key = name + "-key-1";
        String first = send(plainCall(key)).get();
        String second = send(plainCall(key)).get();
        report.expect(
                name,
                "the call is executed once",
                plainServer.executions(key) == 1,
                plainServer.executions(key) + " times");
        report.expect(name, "both callers receive the same response", first.equals(second), second);
    }

    private void checkServerCrash() throws Exception {
        report.print("A backend server is killed while it runs a request for a whole response.");
        CompletableFuture<String> call = send(completion("survive", 400, false));
        awaitRunning();
        int busy = engines[0].liveStreams() > 0 ? 0 : 1;
        engines[busy].crash();
        String body = call.get();
        boolean isComplete = body.contains(EngineTokens.fullText("survive", 400));
        report.expect(name, "the response comes complete from another server", isComplete, body.length() + " bytes");
        engines[busy].recover();
    }

    private void checkDrain() throws Exception {
        report.print("A backend server is drained while it runs a request.");
        CompletableFuture<String> call = send(completion("finish first", 400, true));
        awaitRunning();
        int busy = engines[0].liveStreams() > 0 ? 0 : 1;
        agents.get(busy).drain(DrainReason.OPERATOR);
        long before = engines[busy].startedGenerations();
        String body = call.get();
        expectComplete("the running response is not truncated", body, "finish first", 400);
        await("the agent is drained", () -> agents.get(busy).isDrained());
        for (int i = 0; i < 4; i++) {
            String after = send(completion("after " + i, 10, true)).get();
            expectComplete("a response after the drain is complete", after, "after " + i, 10);
        }
        long newRequests = engines[busy].startedGenerations() - before;
        report.expect(name, "the drained server receives no new work", newRequests == 0, newRequests + " requests");
    }

    private void expectComplete(String expectation, String body, String prompt, int tokens) {
        StringBuilder text = new StringBuilder();
        ServerSentEventParser parser = new ServerSentEventParser((id, data) -> text.append(DemoText.of(data)));
        parser.feed(ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
        boolean isComplete = text.toString().equals(EngineTokens.fullText(prompt, tokens));
        report.expect(name, expectation, isComplete, text.length() + " characters, " + tokens + " tokens");
    }

    private CompletableFuture<String> send(HttpRequest request) {
        return http.sendAsync(request, HttpResponse.BodyHandlers.ofString()).thenApply(HttpResponse::body);
    }

    private HttpRequest completion(String prompt, int tokens, boolean isStreaming) {
        String body = "{\"model\":\"teller\",\"prompt\":\"" + prompt + "\",\"max_tokens\":" + tokens + ",\"stream\":"
                + isStreaming + "}";
        return request("/v1/completions")
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
    }

    private HttpRequest plainCall(String key) {
        return request("/v1/services/" + plainService + "/orders")
                .header("Idempotency-Key", key)
                .POST(HttpRequest.BodyPublishers.ofString("{\"seats\":2}"))
                .build();
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create(baseUri + path)).header("Authorization", "Bearer " + API_KEY);
    }

    private void awaitRunning() throws InterruptedException {
        await("a request runs", () -> engines[0].liveStreams() + engines[1].liveStreams() > 0);
    }

    private String startAgent(String backend, String region, InetSocketAddress server, String kind) {
        AgentDaemon agent = new AgentDaemon(new AgentSettings(
                backend,
                region,
                region + "-a",
                Addresses.loopback(0),
                Addresses.loopback(0),
                URI.create("http://" + Addresses.format(server)),
                kind,
                kind.equals("model") ? 100_000 : 0,
                64,
                null,
                null,
                "text"));
        agents.add(agent);
        return Addresses.format(agent.start());
    }

    private Document document(List<String> regions, List<BackendSpec> backends) {
        List<RegionSpec> specs = new ArrayList<>();
        for (String region : regions) {
            specs.add(new RegionSpec(region, List.of(region + "-a"), 2_500_000));
        }
        CustomerSpec customer = new CustomerSpec(
                "demo", List.of(Sha256.hex(API_KEY)), List.of("texts", plainService), 1, 1_000, 1_000_000);
        return new Document(
                List.of(
                        new ServiceSpec("texts", ServiceKind.MODEL, List.of("teller"), List.of(), false),
                        new ServiceSpec(plainService, ServiceKind.PLAIN, List.of(), List.of("POST /orders"), false)),
                List.of(customer),
                List.of(new ModelSpec("teller", "1", List.of(), 20_000, 200)),
                List.of(new WorkKindSpec("normal", 5, 20_000)),
                backends,
                specs,
                null);
    }

    private static void await(String what, BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new IllegalStateException("not reached within " + WAIT_SECONDS + " s: " + what);
            }
            Thread.sleep(2);
        }
    }

    /** Extracts the text of a token event, empty for the end marker. */
    private static final class DemoText {
        private static final ObjectMapper JSON = new ObjectMapper();

        static String of(String data) {
            try {
                return data.startsWith("{")
                        ? JSON.readTree(data)
                                .path("choices")
                                .path(0)
                                .path("text")
                                .asText()
                        : "";
            } catch (IOException e) {
                return "<" + e.getMessage() + ">";
            }
        }
    }
}
