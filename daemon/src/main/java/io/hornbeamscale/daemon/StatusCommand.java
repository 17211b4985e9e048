package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Prints which document version each process has in force, and which processes lag behind and why. */
@Parameters(commandDescription = "Show the status of processes and the version in force at each")
final class StatusCommand extends Subcommand {
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final ObjectMapper JSON = new ObjectMapper();

    @Parameter(names = "--admin", required = true, description = "Admin addresses, separated by commas")
    private List<String> addresses;

    @Parameter(names = "--json", description = "Print JSON instead of a table")
    private boolean isJson;

    @Override
    int run() {
        HttpClient http = HttpClient.newBuilder().connectTimeout(TIMEOUT).build();
        VersionTable table = new VersionTable();
        int status = 0;
        for (String address : addresses) {
            if (Addresses.parse(address) == null) {
                System.err.println("--admin: '" + address + "' is not an IP address with a port");
                return Main.BAD_USAGE;
            }
            URI uri = URI.create("http://" + address + "/status");
            HttpRequest request = HttpRequest.newBuilder(uri).timeout(TIMEOUT).build();
            try {
                table.add(JSON.readTree(
                        http.send(request, HttpResponse.BodyHandlers.ofString()).body()));
            } catch (IOException e) {
                table.addUnreachable(address, "does not answer: " + e);
                status = 1;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 1;
            }
        }
        print(table);
        return status;
    }

    private void print(VersionTable table) {
        if (!isJson) {
            table.lines().forEach(System.out::println);
            return;
        }
        try {
            System.out.println(JSON.writerWithDefaultPrettyPrinter().writeValueAsString(table.fields()));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write JSON", e);
        }
    }
}
