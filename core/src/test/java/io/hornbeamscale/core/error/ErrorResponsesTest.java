package io.hornbeamscale.core.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an error kind that has no answer and against advice to retry work that may have run. */
class ErrorResponsesTest {
    @Nested
    class Of {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void answersEveryKind(ErrorKind kind) {
            assertNotNull(ErrorResponses.of(kind));
            assertEquals(kind, ErrorKind.ofCode(kind.code()));
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void neverAdvisesToRetryWorkThatRan(ErrorKind kind) {
            ErrorResponse answer = ErrorResponses.of(kind);
            if (answer.isRetryable()) {
                assertEquals(kind == ErrorKind.IN_PROGRESS, answer.outcome() != RunOutcome.NOT_RUN);
            }
        }
    }
}
