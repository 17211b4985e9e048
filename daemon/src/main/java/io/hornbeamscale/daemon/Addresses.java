package io.hornbeamscale.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;

/** Parses and formats IPv4 addresses of the form {@code ip:port}. */
final class Addresses {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;
    private static final int IPV4_BYTES = 4;

    private Addresses() {}

    /** Returns the address, null if the text is malformed. Host names are not resolved. */
    static InetSocketAddress parse(String text) {
        if (!text.matches("[0-9]{1,3}(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
            return null;
        }
        int colon = text.indexOf(':');
        int port = Integer.parseInt(text.substring(colon + 1));
        byte[] bytes = new byte[IPV4_BYTES];
        String[] parts = text.substring(0, colon).split("\\.", -1);
        for (int i = 0; i < bytes.length; i++) {
            int part = Integer.parseInt(parts[i]);
            if (part > MAX_BYTE) {
                return null;
            }
            bytes[i] = (byte) part;
        }
        return port > MAX_PORT ? null : of(bytes, port);
    }

    /** Returns the address of an HTTP server, null unless the URI has an IPv4 address and a port. */
    static InetSocketAddress of(URI server) {
        return parse(server.getHost() + ":" + server.getPort());
    }

    /** Returns the loopback address with a port. */
    static InetSocketAddress loopback(int port) {
        return of(new byte[] {127, 0, 0, 1}, port);
    }

    private static InetSocketAddress of(byte[] bytes, int port) {
        try {
            return new InetSocketAddress(InetAddress.getByAddress(bytes), port);
        } catch (UnknownHostException e) {
            throw new IllegalStateException("an IPv4 address has four bytes", e);
        }
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
