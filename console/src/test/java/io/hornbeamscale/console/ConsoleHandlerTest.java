package io.hornbeamscale.console;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hornbeamscale.external.FakeKeyValueStore;
import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against responses without security headers, unprotected cookies, and forms that exhaust the memory. */
class ConsoleHandlerTest {
    private static final String FORM = "application/x-www-form-urlencoded";

    private final HttpClient http = HttpClient.newHttpClient();
    private Undertow server;
    private String base;

    @BeforeEach
    void start() {
        ConsoleSettings settings =
                new ConsoleSettings(Map.of("nadia", ConsoleClient.HASH), "0123456789abcdef0123456789abcdef");
        ConsoleHandler handler =
                new ConsoleHandler(settings, new FakeKeyValueStore(() -> 0), new SecureRandom(), () -> 1_000);
        server = Undertow.builder()
                .addHttpListener(0, "127.0.0.1")
                .setIoThreads(1)
                .setWorkerThreads(2)
                .setHandler(handler)
                .build();
        server.start();
        base = "http://127.0.0.1:"
                + ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
    }

    @AfterEach
    void stop() {
        server.stop();
    }

    private HttpResponse<String> send(String method, String path, String type, String body, String... headers)
            throws Exception {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(base + path))
                .header("Content-Type", type)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            builder.headers(headers);
        }
        return http.send(builder.build(), HttpResponse.BodyHandlers.ofString());
    }

    @Nested
    class Responses {
        @ParameterizedTest
        @ValueSource(
                strings = {"/", "/console/", "/console/style.css", "/console/customers/x", "/console/%3Cscript%3E"})
        void carrySecurityHeaders(String path) throws Exception {
            HttpResponse<String> response = send("GET", path, FORM, "");
            for (String name : List.of(
                    "Content-Security-Policy", "X-Content-Type-Options", "X-Frame-Options", "Referrer-Policy")) {
                assertEquals(1, response.headers().allValues(name).size(), name);
            }
            assertEquals(List.of("no-store"), response.headers().allValues("Cache-Control"));
        }

        @ParameterizedTest
        @ValueSource(strings = {"Secure", "HttpOnly", "SameSite=Strict", "path=/"})
        void protectTheCookie(String attribute) throws Exception {
            HttpResponse<String> response =
                    send("POST", "/console/login", FORM, "operator=nadia&password=correct+horse&next=/console/");
            assertEquals(303, response.statusCode());
            String cookie = response.headers().firstValue("Set-Cookie").orElseThrow();
            assertTrue(cookie.startsWith(ConsoleHandler.SESSION_COOKIE_NAME + "="));
            assertTrue(List.of(cookie.split("; ", -1)).stream().anyMatch(attribute::equalsIgnoreCase), cookie);
        }
    }

    @Nested
    class Requests {
        @ParameterizedTest
        @CsvSource({
            "POST, application/x-www-form-urlencoded, 100, , 401",
            "POST, application/x-www-form-urlencoded, 65537, , 413",
            "POST, application/x-www-form-urlencoded, 5000000, , 413",
            "POST, application/json, 100, , 400",
            "POST, multipart/form-data, 100, , 400",
            "POST, application/x-www-form-urlencoded, 100, http://evil.example, 403",
            "POST, application/x-www-form-urlencoded, 100, null, 403",
            "PUT, application/x-www-form-urlencoded, 100, , 405",
            "DELETE, application/x-www-form-urlencoded, 0, , 405"
        })
        void areRefused(String method, String type, int bytes, String origin, int status) throws Exception {
            String body = bytes == 0 ? "" : "operator=" + "x".repeat(bytes - 9);
            HttpResponse<String> response = origin == null
                    ? send(method, "/console/login", type, body)
                    : send(method, "/console/login", type, body, "Origin", origin);
            assertEquals(status, response.statusCode());
        }

        @ParameterizedTest
        @CsvSource({"500, 401", "2000, 400"})
        void withManyFieldsAreRefused(int fields, int status) throws Exception {
            HttpResponse<String> response = send("POST", "/console/login", FORM, "a=1&".repeat(fields) + "b=2");
            assertEquals(status, response.statusCode());
        }
    }
}
