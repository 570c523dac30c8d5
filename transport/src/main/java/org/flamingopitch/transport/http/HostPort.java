package org.flamingopitch.transport.http;

/**
 * An IP address and a TCP port.
 *
 * @param host the IP address in numeric form
 * @param port the port, 0 to 65535; 0 lets a listener take any free port
 */
public record HostPort(String host, int port) {

    private static final int MAX_PORT = 65_535;

    /**
     * Creates an address.
     *
     * @param host the IP address in numeric form
     * @param port the port
     * @throws IllegalArgumentException if the port is not between 0 and 65535
     */
    public HostPort {
        if (port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("port " + port + " is not between 0 and " + MAX_PORT);
        }
    }

    /**
     * Parses an address of the form {@code 127.0.0.1:8080}.
     *
     * @param text an IP address, a colon and a port
     * @return the address
     * @throws IllegalArgumentException if the text is not an address
     */
    public static HostPort parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("\"" + text + "\" is not an address like 127.0.0.1:8080");
        }
        try {
            return new HostPort(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("\"" + text + "\" has no port number", e);
        }
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
