package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.annotation.JsonAppend;

/**
 * A message between processes. Fields have short names on the wire; {@code t} is the type and {@code v} the protocol
 * version.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonAppend(attrs = @JsonAppend.Attr(value = Message.VERSION_ATTRIBUTE, propName = "v"), prepend = true)
@JsonSubTypes({
    @JsonSubTypes.Type(value = HelloMessage.class, name = "hello"),
    @JsonSubTypes.Type(value = ReserveMessage.class, name = "reserve"),
    @JsonSubTypes.Type(value = CancelReservationMessage.class, name = "cancel"),
    @JsonSubTypes.Type(value = GrantMessage.class, name = "grant"),
    @JsonSubTypes.Type(value = RefuseMessage.class, name = "refuse"),
    @JsonSubTypes.Type(value = StartMessage.class, name = "start"),
    @JsonSubTypes.Type(value = StartedMessage.class, name = "started"),
    @JsonSubTypes.Type(value = TokensMessage.class, name = "tokens"),
    @JsonSubTypes.Type(value = EndMessage.class, name = "end"),
    @JsonSubTypes.Type(value = FailedMessage.class, name = "failed"),
    @JsonSubTypes.Type(value = AckMessage.class, name = "ack"),
    @JsonSubTypes.Type(value = ResumeMessage.class, name = "resume"),
    @JsonSubTypes.Type(value = RevokeMessage.class, name = "revoke"),
    @JsonSubTypes.Type(value = RevokedMessage.class, name = "revoked"),
    @JsonSubTypes.Type(value = BackendStatusMessage.class, name = "status"),
    @JsonSubTypes.Type(value = LeavingMessage.class, name = "leaving"),
    @JsonSubTypes.Type(value = ConfigDigestMessage.class, name = "config-digest"),
    @JsonSubTypes.Type(value = ConfigDeltaMessage.class, name = "config-delta"),
    @JsonSubTypes.Type(value = ConfigSnapshotMessage.class, name = "config-whole"),
    @JsonSubTypes.Type(value = ConfigRequestMessage.class, name = "config-want"),
    @JsonSubTypes.Type(value = LimitShareMessage.class, name = "limit-share"),
    @JsonSubTypes.Type(value = QuarantineMessage.class, name = "quarantine"),
    @JsonSubTypes.Type(value = ClaimForwardMessage.class, name = "claim-forward"),
    @JsonSubTypes.Type(value = ClaimAnswerMessage.class, name = "claim-answer"),
    @JsonSubTypes.Type(value = EntryStatusMessage.class, name = "entry-news"),
    @JsonSubTypes.Type(value = StoreItemsRequestMessage.class, name = "items-wanted"),
    @JsonSubTypes.Type(value = StoreItemsMessage.class, name = "items-news")
})
public sealed interface Message
        permits AttemptMessage,
                HelloMessage,
                BackendStatusMessage,
                LeavingMessage,
                ConfigDigestMessage,
                ConfigDeltaMessage,
                ConfigSnapshotMessage,
                ConfigRequestMessage,
                LimitShareMessage,
                QuarantineMessage,
                ClaimForwardMessage,
                ClaimAnswerMessage,
                EntryStatusMessage,
                StoreItemsRequestMessage,
                StoreItemsMessage {
    /** The serialiser attribute that holds the protocol version. */
    String VERSION_ATTRIBUTE = "version";
}
