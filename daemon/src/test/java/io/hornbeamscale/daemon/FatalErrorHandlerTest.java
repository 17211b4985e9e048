package io.hornbeamscale.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.hornbeamscale.gateway.ControlLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Guards against a process that stays alive after one of its threads has ended with an error. */
class FatalErrorHandlerTest {
    @Test
    void endsTheProcessIfTheControlThreadEnds() throws Exception {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler(status::complete));
        try (ControlLoop loop = new ControlLoop("test", () -> {})) {
            loop.start();
            loop.execute(() -> {
                throw new OutOfMemoryError("test");
            });
            assertEquals(FatalErrorHandler.INTERNAL_ERROR, status.get(10, TimeUnit.SECONDS));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    @Test
    void endsTheProcessEvenIfTheErrorCannotBeLogged() {
        CompletableFuture<Integer> status = new CompletableFuture<>();
        Throwable unprintable = new Throwable("test") {
            @Override
            public String getMessage() {
                throw new IllegalStateException("no memory");
            }
        };
        try {
            new FatalErrorHandler(status::complete).uncaughtException(Thread.currentThread(), unprintable);
        } catch (IllegalStateException e) {
            // The error of the log call is passed on after the process was told to end.
        }
        assertEquals(FatalErrorHandler.INTERNAL_ERROR, status.getNow(0));
    }
}
