package io.hornbeamscale.core.hedge;

import java.util.Optional;

/** Whether a request is sent to a second server. */
public sealed interface HedgeAnswer {
    /**
     * The request is to be sent to a second server now. The send is already counted.
     *
     * @param server the id of the server
     */
    record Send(String server) implements HedgeAnswer {}

    /**
     * The question is to be asked again.
     *
     * @param atMillis when, in milliseconds; later than the present time
     * @param denial what forbids a hedge that is due, empty if none is due yet
     */
    record AskAgain(long atMillis, Optional<HedgeDenial> denial) implements HedgeAnswer {}

    /**
     * The present send is not hedged.
     *
     * @param denial the reason
     */
    record Never(HedgeDenial denial) implements HedgeAnswer {}
}
