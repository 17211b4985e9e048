package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.StreamAction;
import java.util.List;

/** Translates the actions of a stream assembler that change no state of the entry. */
final class StreamActionTranslator {
    private StreamActionTranslator() {}

    /** Adds the translation of an action; returns false if the entry itself must handle the action. */
    static boolean translate(RequestId id, OpenRequest request, StreamAction action, List<EntryAction> actions) {
        if (action instanceof StreamAction.Deliver a) {
            actions.add(new EntryAction.Deliver(id, a.id(), a.texts()));
        } else if (action instanceof StreamAction.DeliverRestart a) {
            actions.add(new EntryAction.Restart(id, a.lost()));
        } else if (action instanceof StreamAction.SendAck a) {
            actions.add(new EntryAction.SendAck(
                    a.generation().backend(), request.currentAttempt, a.generation(), a.offset()));
        } else if (action instanceof StreamAction.SendResume a) {
            actions.add(new EntryAction.SendResume(
                    a.generation().backend(), request.currentAttempt, request.customer, a.generation(), a.offset()));
        } else {
            return false;
        }
        return true;
    }
}
