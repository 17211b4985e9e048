package io.hornbeamscale.gateway;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a control thread that ends silently, after which no change of the store takes effect. */
class ControlLoopTest {
    private static final long WAIT_SECONDS = 10;

    @ParameterizedTest
    @ValueSource(classes = {IllegalStateException.class, StackOverflowError.class})
    void continuesAfterAnEventThatFails(Class<? extends Throwable> failure) throws Exception {
        CountDownLatch laterEvent = new CountDownLatch(1);
        try (ControlLoop loop = new ControlLoop("test", () -> {})) {
            loop.start();
            loop.execute(() -> fail(failure));
            loop.execute(laterEvent::countDown);
            assertTrue(laterEvent.await(WAIT_SECONDS, TimeUnit.SECONDS));
        }
    }

    private static void fail(Class<? extends Throwable> failure) {
        if (failure == StackOverflowError.class) {
            throw new StackOverflowError("planted");
        }
        throw new IllegalStateException("planted");
    }
}
