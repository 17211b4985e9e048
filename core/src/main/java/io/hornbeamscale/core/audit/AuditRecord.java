package io.hornbeamscale.core.audit;

import com.fasterxml.jackson.annotation.JsonIgnore;
import io.hornbeamscale.core.util.Arguments;
import java.util.List;

/**
 * A record of one publication: who published which version, when, from where and why, and what changed.
 *
 * @param version the published version
 * @param writer the id of the write, unique
 * @param operator the name of the operator
 * @param origin where the operator published: the address of the console's client, or the command line
 * @param wallMillis the wall-clock time of the publishing process, in milliseconds since 1970
 * @param action what the operator did, such as {@code publish} or {@code rollback to 4}
 * @param why the reason that the operator gave
 * @param changes the changes; null becomes empty
 */
public record AuditRecord(
        long version,
        String writer,
        String operator,
        String origin,
        long wallMillis,
        String action,
        String why,
        List<RecordedChange> changes)
        implements TrailEntry {
    /** Checks and copies the components. */
    public AuditRecord {
        Arguments.positive(version, "version");
        Arguments.notBlank(writer, "writer");
        Arguments.notBlank(operator, "operator");
        changes = changes == null ? List.of() : List.copyOf(changes);
    }

    @Override
    @JsonIgnore
    public long number() {
        return version;
    }

    /**
     * Returns a smaller record that still contains enough to undo the changes.
     *
     * @return the record without the later values of changed fields, never null
     */
    AuditRecord compact() {
        List<RecordedChange> smaller =
                changes.stream().map(RecordedChange::withoutAfter).toList();
        return new AuditRecord(version, writer, operator, origin, wallMillis, action, why, smaller);
    }
}
