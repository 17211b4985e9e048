package io.hornbeamscale.daemon;

import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.entry.EntryController;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.wire.message.End;
import io.hornbeamscale.wire.message.Failed;
import io.hornbeamscale.wire.message.Grant;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.Refuse;
import io.hornbeamscale.wire.message.Revoked;
import io.hornbeamscale.wire.message.Tokens;
import java.util.List;

/** Passes the messages of agents about attempts to an entry's controller. */
final class AgentMessages {
    private final EntryController controller;

    AgentMessages(EntryController controller) {
        this.controller = controller;
    }

    /** Returns the actions to carry out; messages about something else have none. */
    List<EntryAction> received(BackendId backend, Message message, long nowMillis) {
        if (message instanceof Tokens m) {
            GenerationId generation = GenerationId.parse(m.generation());
            return controller.responses().tokens(m.attemptId(), generation, m.offset(), m.texts(), nowMillis);
        }
        if (message instanceof Grant m) {
            GrantId grant = new GrantId(m.incarnation(), m.sequence());
            return controller.granted(backend, m.attemptId(), grant, m.validMillis(), nowMillis);
        }
        if (message instanceof Refuse m) {
            ErrorKind kind = ErrorKind.ofCode(m.code());
            return controller.refused(backend, m.attemptId(), kind, m.retryAfterMillis(), nowMillis);
        }
        if (message instanceof End m) {
            return ended(m, nowMillis);
        }
        if (message instanceof Failed m) {
            ErrorKind kind = ErrorKind.ofCode(m.code());
            return controller.responses().failed(m.attemptId(), kind, Messages.outcome(m), nowMillis);
        }
        if (message instanceof Revoked m) {
            ClaimOwner holder = new ClaimOwner(m.attemptId(), backend, new GrantId(m.incarnation(), m.sequence()));
            return controller.claims().revoked(holder, Messages.state(m), Messages.result(m), nowMillis);
        }
        return List.of();
    }

    private List<EntryAction> ended(End m, long nowMillis) {
        if (m.status() != 0) {
            return controller.responses().answered(m.attemptId(), m.status(), m.headers(), m.body(), nowMillis);
        }
        GenerationId generation = GenerationId.parse(m.generation());
        return controller.responses().ended(m.attemptId(), generation, m.totalTokens(), m.finishReason(), nowMillis);
    }
}
