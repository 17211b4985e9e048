package io.hornbeamscale.core.error;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against an error kind without a response, and against marking requests as retryable that may have run. */
class ErrorResponsesTest {
    @Nested
    class Of {
        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void returnsAResponseForEveryKind(ErrorKind kind) {
            assertNotNull(ErrorResponses.of(kind));
            assertEquals(kind, ErrorKind.ofCode(kind.code()));
        }

        @ParameterizedTest
        @EnumSource(ErrorKind.class)
        void marksNoExecutedRequestAsRetryable(ErrorKind kind) {
            ErrorResponse response = ErrorResponses.of(kind);
            if (response.isRetryable()) {
                assertEquals(kind == ErrorKind.IN_PROGRESS, response.outcome() != RunOutcome.NOT_RUN);
            }
        }
    }
}
