package io.hornbeamscale.core.entry;

import io.hornbeamscale.core.id.RequestId;
import io.hornbeamscale.core.stream.StreamAction;
import java.util.List;

/** Translates those actions of a stream assembler that change no state of the entry. */
final class StreamActions {
    private StreamActions() {}

    /** Adds the translation of an action; returns whether there is one. */
    static boolean translate(RequestId id, OpenRequest request, StreamAction action, List<EntryAction> actions) {
        if (action instanceof StreamAction.Deliver a) {
            actions.add(new EntryAction.Deliver(id, a.id(), a.texts()));
        } else if (action instanceof StreamAction.DeliverRestart a) {
            actions.add(new EntryAction.Restart(id, a.lost()));
        } else if (action instanceof StreamAction.SendAck a) {
            actions.add(new EntryAction.SendAck(a.generation().backend(), request.current, a.generation(), a.offset()));
        } else if (action instanceof StreamAction.SendResume a) {
            actions.add(new EntryAction.SendResume(
                    a.generation().backend(), request.current, request.customer, a.generation(), a.offset()));
        } else {
            return false;
        }
        return true;
    }
}
