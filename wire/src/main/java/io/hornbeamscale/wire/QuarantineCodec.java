package io.hornbeamscale.wire;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.error.ServingException;
import io.hornbeamscale.core.quarantine.ContentCrashReport;
import io.hornbeamscale.core.quarantine.CrashReport;
import io.hornbeamscale.core.quarantine.QuarantineUpdate;
import io.hornbeamscale.core.quarantine.QuarantinedRequest;
import io.hornbeamscale.core.quarantine.RequestFingerprint;
import io.hornbeamscale.wire.message.QuarantineMessage;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Translates the news that entries exchange about crashes to and from messages. */
public final class QuarantineCodec {
    private static final String NEWS = "news";

    /** The kind of messages with content reports. Releases that do not know them ignore messages of other kinds. */
    private static final String CONTENT_NEWS = "content";

    private static final ObjectMapper JSON = new ObjectMapper();

    private QuarantineCodec() {}

    /**
     * Encodes news.
     *
     * @param news the news, not null
     * @return the message, never null
     */
    public static QuarantineMessage encode(QuarantineUpdate news) {
        List<CrashReportJson> reports = news.reports().stream()
                .map(r -> new CrashReportJson(r.crashId(), digests(r.inFlight())))
                .toList();
        List<ConvictionJson> convictions = news.quarantined().stream()
                .map(c -> new ConvictionJson(c.fingerprint().digest(), c.expiresMillis()))
                .toList();
        List<ContentCrashJson> contentReports = news.contentReports().stream()
                .map(r -> new ContentCrashJson(r.crashId(), digests(r.begun()), digests(r.waiting())))
                .toList();
        try {
            return new QuarantineMessage(
                    contentReports.isEmpty() ? NEWS : CONTENT_NEWS,
                    JSON.writeValueAsString(new QuarantineNewsJson(
                            reports,
                            digests(news.cleared()),
                            convictions,
                            contentReports.isEmpty() ? null : contentReports)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write quarantine news", e);
        }
    }

    /**
     * Decodes news.
     *
     * @param message the message, not null
     * @return the news, empty if the message is of another kind
     * @throws ServingException of kind {@link ErrorKind#BAD_FRAME} if the content is malformed
     */
    public static Optional<QuarantineUpdate> decode(QuarantineMessage message) {
        if (!message.kind().equals(NEWS) && !message.kind().equals(CONTENT_NEWS)) {
            return Optional.empty();
        }
        try {
            QuarantineNewsJson news = JSON.readValue(message.content(), QuarantineNewsJson.class);
            List<CrashReport> reports = news.reports().stream()
                    .map(c -> new CrashReport(c.id(), Set.copyOf(fingerprints(c.requests()))))
                    .toList();
            List<QuarantinedRequest> quarantined = news.convictions().stream()
                    .map(r -> new QuarantinedRequest(new RequestFingerprint(r.request()), r.until()))
                    .toList();
            List<ContentCrashJson> contentReports = news.contentReports() == null ? List.of() : news.contentReports();
            return Optional.of(new QuarantineUpdate(
                    reports,
                    fingerprints(news.cleared()),
                    quarantined,
                    contentReports.stream()
                            .map(r ->
                                    new ContentCrashReport(r.id(), fingerprints(r.begun()), fingerprints(r.waiting())))
                            .toList()));
        } catch (JsonProcessingException | IllegalArgumentException | NullPointerException e) {
            throw new ServingException(ErrorKind.BAD_FRAME, "quarantine news is malformed: " + e.getMessage());
        }
    }

    private static List<String> digests(Collection<RequestFingerprint> fingerprints) {
        return fingerprints.stream().map(RequestFingerprint::digest).toList();
    }

    private static List<RequestFingerprint> fingerprints(List<String> digests) {
        return digests.stream().map(RequestFingerprint::new).toList();
    }

    private record QuarantineNewsJson(
            List<CrashReportJson> reports,
            List<String> cleared,
            List<ConvictionJson> convictions,
            @JsonInclude(JsonInclude.Include.NON_NULL) List<ContentCrashJson> contentReports) {}

    private record ContentCrashJson(String id, List<String> begun, List<String> waiting) {}

    private record CrashReportJson(String id, List<String> requests) {}

    private record ConvictionJson(String request, long until) {}
}
