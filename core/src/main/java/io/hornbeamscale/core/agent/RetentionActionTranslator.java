package io.hornbeamscale.core.agent;

import io.hornbeamscale.core.stream.RetentionAction;

/** Translates the actions of a retention buffer into agent actions. */
final class RetentionActionTranslator {
    private RetentionActionTranslator() {}

    static AgentAction translate(RetentionAction action) {
        if (action instanceof RetentionAction.SendTokens a) {
            return new AgentAction.SendTokens(
                    a.reader().entry(), a.reader().attempt(), a.generation(), a.offset(), a.texts());
        }
        if (action instanceof RetentionAction.SendEnd a) {
            return new AgentAction.SendEnd(
                    a.reader().entry(), a.reader().attempt(), a.generation(), a.totalTokens(), a.finishReason());
        }
        if (action instanceof RetentionAction.SendFailed a) {
            return new AgentAction.SendFailed(
                    a.reader().entry(),
                    a.reader().attempt(),
                    a.generation().toString(),
                    a.kind(),
                    a.outcome(),
                    a.offset());
        }
        if (action instanceof RetentionAction.ReattachGeneration a) {
            return new AgentAction.ReattachCall(a.generation(), a.offset());
        }
        return new AgentAction.CancelCall(((RetentionAction.CancelGeneration) action).generation());
    }
}
