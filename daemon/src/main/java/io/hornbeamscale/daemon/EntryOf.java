package io.hornbeamscale.daemon;

import io.hornbeamscale.core.agent.AgentAction;
import io.hornbeamscale.core.id.NodeId;

/** Finds the entry that an agent's action is addressed to. */
final class EntryOf {
    private EntryOf() {}

    /** Returns the entry, null if the action is not addressed to one. */
    static NodeId action(AgentAction action) {
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
