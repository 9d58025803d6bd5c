package kelphollow.decision;

import kelphollow.decision.ControlApi.Arrival;
import kelphollow.decision.ControlApi.RequestClass;

/** What {@link Control} keeps of an open request; plain data, times in milliseconds on the host's clock. */
final class Request {
    Arrival in;
    RequestClass kind;
    Control.Volume volume;
    long order;
    double luck, arrived, aimAt, answerAt, holdUntil, startTag, finishTag, worth, retryAt;
    double maybeRanSince = -1;
    Control.Node maybeRanAt;
    Attempt flying;
    int tries;
    boolean late, isHeld, streaming, tokensSpent, reached;

    boolean proved() { return maybeRanSince < 0 && flying == null; }
}
