package kelphollow.dissemination;

import java.util.List;
import kelphollow.digest.InstanceState;

/** One datagram for the owner to send; it may be lost. */
public sealed interface DisseminationOutput {
    /** Name of the member that receives it. */
    String to();

    /** Changed states. */
    record SendStates(String to, List<InstanceState> states) implements DisseminationOutput {}

    /** A message of a comparison of views. */
    record SendComparison(String to, AntiEntropy message) implements DisseminationOutput {}
}
