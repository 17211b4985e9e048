package io.hornbeamscale.daemon;

import com.codahale.metrics.MetricRegistry;
import io.hornbeamscale.gateway.ControlLoop;
import io.hornbeamscale.wire.FrameLoop;
import java.util.LinkedHashMap;
import java.util.Map;

/** Metrics and fields of the status page that tell what frames and control cost. */
final class CostFields {
    private CostFields() {}

    /** Registers what tells of trouble with frames or of a control thread that lags. */
    static void register(MetricRegistry registry, FrameLoop frames, ControlLoop control) {
        registry.gauge("bad_frames", () -> frames::badFrames);
        registry.gauge("unknown_messages", () -> frames::unknownTypes);
        registry.gauge("control_queue", () -> control::queuedEvents);
    }

    static Map<String, Object> of(FrameLoop frames, ControlLoop control) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("frames_sent_bytes", frames.sentBytes());
        fields.put("frames_received_bytes", frames.receivedBytes());
        fields.put("control_cpu_nanos", control.cpuNanos());
        return fields;
    }
}
