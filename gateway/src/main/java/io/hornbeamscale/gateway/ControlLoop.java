package io.hornbeamscale.gateway;

import io.hornbeamscale.core.util.Arguments;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/** The event loop of the thread that runs the controllers of a process. Other threads pass events to it. */
public final class ControlLoop implements AutoCloseable {
    /** The default interval between two ticks, in milliseconds. */
    public static final long TICK_MILLIS = 10;

    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final Logger log;
    private final BlockingQueue<Runnable> events = new LinkedBlockingQueue<>();
    private final Runnable tick;
    private final long tickMillis;
    private final Thread thread;
    private volatile boolean isClosed;
    private volatile long cpuNanos;

    /**
     * Creates a loop that is not started and ticks every {@link #TICK_MILLIS}.
     *
     * @param component the name of the component, used for the thread and the logger
     * @param tick runs on the control thread, not null
     */
    public ControlLoop(String component, Runnable tick) {
        this(component, TICK_MILLIS, tick);
    }

    /**
     * Creates a loop that is not started.
     *
     * @param component the name of the component, used for the thread and the logger
     * @param tickMillis the interval between two ticks, in milliseconds, positive
     * @param tick runs on the control thread, not null
     */
    public ControlLoop(String component, long tickMillis, Runnable tick) {
        this.tickMillis = Arguments.positive(tickMillis, "tickMillis");
        this.log = LogManager.getLogger(component);
        this.tick = Arguments.notNull(tick, "tick");
        this.thread = new Thread(this::run, component + "-control");
        thread.setDaemon(true);
    }

    /**
     * Returns the time of the process's monotonic clock, whose origin is arbitrary.
     *
     * @return the time, in milliseconds
     */
    public static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /**
     * Runs an event on the control thread, after the events passed earlier.
     *
     * @param event the event, not null
     */
    public void execute(Runnable event) {
        events.add(event);
    }

    /**
     * Returns the number of queued events.
     *
     * @return the number of events
     */
    public int queuedEvents() {
        return events.size();
    }

    /**
     * Returns the processor time that the control thread has used, as of the last tick.
     *
     * @return the time, in nanoseconds
     */
    public long cpuNanos() {
        return cpuNanos;
    }

    @Override
    public void close() {
        isClosed = true;
        thread.interrupt();
    }

    private void run() {
        long nextTick = now() + tickMillis;
        while (!isClosed) {
            try {
                Runnable event = events.poll(Math.max(0, nextTick - now()), TimeUnit.MILLISECONDS);
                if (event != null) {
                    event.run();
                }
                if (now() >= nextTick) {
                    nextTick = now() + tickMillis;
                    tick.run();
                    cpuNanos = THREADS.getCurrentThreadCpuTime();
                }
            } catch (InterruptedException e) {
                return;
            } catch (RuntimeException | StackOverflowError e) {
                log.error("An event failed; the process continues.", e);
            }
        }
    }
}
