package io.hornbeamscale.gateway;

import com.sun.management.UnixOperatingSystemMXBean;
import io.hornbeamscale.core.limit.ClientLimits;
import java.lang.management.ManagementFactory;

/** The limits that the operating system and the JVM set for this process. */
public final class ProcessLimits {
    /** The number of descriptors that is assumed if the operating system does not tell. */
    private static final long DEFAULT_DESCRIPTORS = 1_024;

    private ProcessLimits() {}

    /**
     * Returns the limits on what is held for clients that follow from the heap and the descriptors of this process.
     *
     * @return the limits, never null
     */
    public static ClientLimits clients() {
        long descriptors = ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean unix
                ? unix.getMaxFileDescriptorCount()
                : DEFAULT_DESCRIPTORS;
        return ClientLimits.ofProcess(Runtime.getRuntime().maxMemory(), Math.max(1, descriptors));
    }
}
