package io.hornbeamscale.daemon;

import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameLoop;
import java.util.LinkedHashMap;
import java.util.Map;

/** Metrics and status fields of a process's frame loop and control loop. */
final class LoopMetrics {
    private LoopMetrics() {}

    /** Registers gauges for frames that cannot be processed and for the backlog of the control thread. */
    static void register(MetricRegistry registry, FrameLoop frames, ControlLoop control) {
        registry.gauge("bad_frames", () -> frames::badFrames);
        registry.gauge("unknown_messages", () -> frames::unknownTypes);
        registry.gauge("control_queue", () -> control::queuedEvents);
    }

    static Map<String, Object> statusFields(FrameLoop frames, ControlLoop control) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("frames_sent_bytes", frames.sentBytes());
        fields.put("frames_received_bytes", frames.receivedBytes());
        fields.put("control_cpu_nanos", control.cpuNanos());
        return fields;
    }
}
