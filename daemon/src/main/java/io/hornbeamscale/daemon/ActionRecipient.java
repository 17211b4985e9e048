package io.hornbeamscale.daemon;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.id.NodeId;

/** Determines the entry that receives the message of an agent's action. */
final class ActionRecipient {
    private ActionRecipient() {}

    /** Returns the entry, null if the action sends no message. */
    static NodeId of(AgentAction action) {
        if (action instanceof AgentAction.SendTokens a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendGrant a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendRefuse a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendStarted a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendEnd a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendAnswer a) {
            return a.entry();
        }
        if (action instanceof AgentAction.SendFailed a) {
            return a.entry();
        }
        return action instanceof AgentAction.SendRevoked a ? a.entry() : null;
    }
}
