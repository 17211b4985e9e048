package io.hornbeamscale.daemon;

import io.hornbeamscale.core.claim.ClaimOwner;
import io.hornbeamscale.core.entry.EntryAction;
import io.hornbeamscale.core.entry.EntryController;
import io.hornbeamscale.core.error.ErrorKind;
import io.hornbeamscale.core.id.BackendId;
import io.hornbeamscale.core.id.GenerationId;
import io.hornbeamscale.core.id.GrantId;
import io.hornbeamscale.wire.message.EndMessage;
import io.hornbeamscale.wire.message.FailedMessage;
import io.hornbeamscale.wire.message.GrantMessage;
import io.hornbeamscale.wire.message.Message;
import io.hornbeamscale.wire.message.RefuseMessage;
import io.hornbeamscale.wire.message.RevokedMessage;
import io.hornbeamscale.wire.message.TokensMessage;
import java.util.List;

/** Passes agents' messages about attempts to an entry's controller. */
final class AgentMessageHandler {
    private final EntryController controller;

    AgentMessageHandler(EntryController controller) {
        this.controller = controller;
    }

    /** Returns the actions to carry out, none for messages that do not concern attempts. */
    List<EntryAction> received(BackendId backend, Message message, long nowMillis) {
        if (message instanceof TokensMessage m) {
            GenerationId generation = GenerationId.parse(m.generation());
            return controller.responses().tokens(m.attemptId(), generation, m.offset(), m.texts(), nowMillis);
        }
        if (message instanceof GrantMessage m) {
            GrantId grant = new GrantId(m.incarnation(), m.sequence());
            return controller.granted(backend, m.attemptId(), grant, m.validMillis(), nowMillis);
        }
        if (message instanceof RefuseMessage m) {
            ErrorKind kind = ErrorKind.ofCode(m.code());
            return controller.refused(backend, m.attemptId(), kind, m.retryAfterMillis(), nowMillis);
        }
        if (message instanceof EndMessage m) {
            return ended(m, nowMillis);
        }
        if (message instanceof FailedMessage m) {
            ErrorKind kind = ErrorKind.ofCode(m.code());
            return controller.responses().failed(m.attemptId(), kind, MessageConverter.outcome(m), nowMillis);
        }
        if (message instanceof RevokedMessage m) {
            ClaimOwner holder = new ClaimOwner(m.attemptId(), backend, new GrantId(m.incarnation(), m.sequence()));
            return controller
                    .claims()
                    .revoked(holder, MessageConverter.state(m), MessageConverter.result(m), nowMillis);
        }
        return List.of();
    }

    private List<EntryAction> ended(EndMessage m, long nowMillis) {
        if (m.status() != 0) {
            return controller.responses().answered(m.attemptId(), m.status(), m.headers(), m.body(), nowMillis);
        }
        GenerationId generation = GenerationId.parse(m.generation());
        return controller.responses().ended(m.attemptId(), generation, m.totalTokens(), m.finishReason(), nowMillis);
    }
}
