package io.hornbeamscale.daemon;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;

/** Prints the status of processes, with the version of the document that each has in force. */
@Parameters(commandDescription = "Show the status of processes and the version in force at each")
final class StatusCommand extends Command {
    private static final Duration LIMIT = Duration.ofSeconds(5);

    @Parameter(names = "--admin", required = true, description = "Admin addresses, separated by commas")
    private List<String> addresses;

    @Override
    int run() {
        HttpClient http = HttpClient.newBuilder().connectTimeout(LIMIT).build();
        int status = 0;
        for (String address : addresses) {
            if (Addresses.parse(address) == null) {
                System.err.println("--admin: '" + address + "' is not an IP address with a port");
                return Main.BAD_USAGE;
            }
            URI uri = URI.create("http://" + address + "/status");
            HttpRequest request = HttpRequest.newBuilder(uri).timeout(LIMIT).build();
            try {
                HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
                System.out.println(address + " " + response.body().strip());
            } catch (IOException e) {
                System.out.println(address + " does not answer: " + e);
                status = 1;
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return 1;
            }
        }
        return status;
    }
}
