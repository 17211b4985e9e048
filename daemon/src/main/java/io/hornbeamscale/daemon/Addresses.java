package io.hornbeamscale.daemon;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.UnknownHostException;

/** Reads and writes addresses of the form {@code ip:port}. */
final class Addresses {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTE = 255;
    private static final int IPV4_BYTES = 4;

    private Addresses() {}

    /** Returns the address, null if the text is not one. Names are not resolved. */
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

    /** Returns the address of an HTTP server. */
    static InetSocketAddress of(URI server) {
        return parse(server.getHost() + ":" + server.getPort());
    }

    /** Returns an address of the local host. */
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
