package io.hornbeamscale.core.fleet;

import io.hornbeamscale.core.util.Arguments;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An IP address and a port. Host names are not supported, since resolving them would block.
 *
 * @param ip the address in numeric form
 * @param port the port, from 1 to 65,535
 */
public record Endpoint(String ip, int port) {
    private static final Pattern IP_AND_PORT = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final Pattern DOT = Pattern.compile("\\.");
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    /** Checks the parts. */
    public Endpoint {
        Arguments.notBlank(ip, "ip");
        Arguments.inRange(port, 1, MAX_PORT, "port");
    }

    /**
     * Parses an endpoint of the form IP:PORT.
     *
     * @param text the text, may be null
     * @return the endpoint, empty if the text is not of this form
     */
    public static Optional<Endpoint> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        Matcher matcher = IP_AND_PORT.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        for (String octet : DOT.split(matcher.group(1), -1)) {
            if (Integer.parseInt(octet) > MAX_OCTET) {
                return Optional.empty();
            }
        }
        int port = Integer.parseInt(matcher.group(2));
        return port < 1 || port > MAX_PORT ? Optional.empty() : Optional.of(new Endpoint(matcher.group(1), port));
    }

    /**
     * Returns the endpoint in the form IP:PORT.
     *
     * @return the text, never null
     */
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
