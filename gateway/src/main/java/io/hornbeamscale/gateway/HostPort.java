package io.hornbeamscale.gateway;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads addresses of the form IP:PORT. Names are refused, since looking one up would block. */
public final class HostPort {
    private static final Pattern FORM = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private HostPort() {}

    /**
     * Reads an address.
     *
     * @param text the text, may be null
     * @return the address, empty if the text is not of the form IP:PORT
     */
    public static Optional<InetSocketAddress> parse(String text) {
        if (text == null) {
            return Optional.empty();
        }
        Matcher matcher = FORM.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        int port = Integer.parseInt(matcher.group(2));
        if (port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        try {
            return Optional.of(new InetSocketAddress(InetAddress.getByName(matcher.group(1)), port));
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }
}
