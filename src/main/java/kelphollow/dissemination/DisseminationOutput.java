package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;

/** One datagram that is to be sent; it may be lost. */
public sealed interface DisseminationOutput {
    /** The member that it is sent to. */
    String to();

    /** Changed states. */
    record SendStates(String to, List<InstanceState> states) implements DisseminationOutput {}

    /** A step of a comparison of views. */
    record SendComparison(String to, AntiEntropy message) implements DisseminationOutput {}
}
