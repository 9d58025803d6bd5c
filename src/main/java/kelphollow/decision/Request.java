package kelphollow.decision;

import kelphollow.decision.ControlEvent.RequestArrived;
import kelphollow.decision.ControlSettings.RequestClass;

/** What {@link Control} keeps of an open request; plain data, times in milliseconds on the host's clock. */
final class Request {
    RequestArrived in;
    RequestClass kind;
    Control.Volume volume;
    long order;
    double luck, arrived, objectiveAt, answerAt, holdUntil, startTag, finishTag, worth, retryAt;
    double maybeRanSince = -1;
    Control.Node maybeRanAt;
    Attempt inFlight;
    int tries;
    boolean late, isHeld, streaming, tokensSpent, reached;

    boolean proved() { return maybeRanSince < 0 && inFlight == null; }
}
