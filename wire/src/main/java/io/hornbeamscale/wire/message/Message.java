package io.hornbeamscale.wire.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.annotation.JsonAppend;

/** A message between processes. Fields travel under short names; {@code t} is the type and {@code v} the version. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "t")
@JsonAppend(attrs = @JsonAppend.Attr(value = Message.VERSION_ATTRIBUTE, propName = "v"), prepend = true)
@JsonSubTypes({
    @JsonSubTypes.Type(value = Hello.class, name = "hello"),
    @JsonSubTypes.Type(value = Reserve.class, name = "reserve"),
    @JsonSubTypes.Type(value = CancelReservation.class, name = "cancel"),
    @JsonSubTypes.Type(value = Grant.class, name = "grant"),
    @JsonSubTypes.Type(value = Refuse.class, name = "refuse"),
    @JsonSubTypes.Type(value = Start.class, name = "start"),
    @JsonSubTypes.Type(value = Started.class, name = "started"),
    @JsonSubTypes.Type(value = Tokens.class, name = "tokens"),
    @JsonSubTypes.Type(value = End.class, name = "end"),
    @JsonSubTypes.Type(value = Failed.class, name = "failed"),
    @JsonSubTypes.Type(value = Ack.class, name = "ack"),
    @JsonSubTypes.Type(value = Resume.class, name = "resume"),
    @JsonSubTypes.Type(value = Revoke.class, name = "revoke"),
    @JsonSubTypes.Type(value = Revoked.class, name = "revoked"),
    @JsonSubTypes.Type(value = Status.class, name = "status"),
    @JsonSubTypes.Type(value = Leaving.class, name = "leaving"),
    @JsonSubTypes.Type(value = ConfigDigest.class, name = "config-digest"),
    @JsonSubTypes.Type(value = ConfigDelta.class, name = "config-delta"),
    @JsonSubTypes.Type(value = ConfigWhole.class, name = "config-whole"),
    @JsonSubTypes.Type(value = ConfigWant.class, name = "config-want"),
    @JsonSubTypes.Type(value = LimitShare.class, name = "limit-share"),
    @JsonSubTypes.Type(value = Quarantine.class, name = "quarantine"),
    @JsonSubTypes.Type(value = ClaimForward.class, name = "claim-forward"),
    @JsonSubTypes.Type(value = ClaimAnswer.class, name = "claim-answer"),
    @JsonSubTypes.Type(value = EntryNews.class, name = "entry-news"),
    @JsonSubTypes.Type(value = ItemsWanted.class, name = "items-wanted"),
    @JsonSubTypes.Type(value = ItemsNews.class, name = "items-news")
})
public sealed interface Message
        permits AttemptMessage,
                Hello,
                Status,
                Leaving,
                ConfigDigest,
                ConfigDelta,
                ConfigWhole,
                ConfigWant,
                LimitShare,
                Quarantine,
                ClaimForward,
                ClaimAnswer,
                EntryNews,
                ItemsWanted,
                ItemsNews {
    /** The serialiser attribute that holds the protocol version. */
    String VERSION_ATTRIBUTE = "version";
}
