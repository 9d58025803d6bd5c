package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;

/** One datagram that is to be sent; it may be lost. */
public sealed interface Output {
    /** The member that it is sent to. */
    String to();

    /** Parts that are new here. */
    record Tell(String to, List<InstanceState> parts) implements Output {}

    /** A step of a comparison. */
    record Compare(String to, AntiEntropy message) implements Output {}
}
