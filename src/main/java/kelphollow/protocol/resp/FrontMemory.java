package kelphollow.protocol.resp;

import kelphollow.transport.ClientMemory;

/**
 * The bounds on what the clients of a front occupy together. Each has a capacity of its own, so that clients that exhaust
 * one cannot keep others out of the rest.
 *
 * @param incompleteCommands commands that have not arrived completely
 * @param acceptedCommands complete commands until their replies
 * @param heldReplies replies that wait for an earlier one on their connection or for their client to read
 * @param undecodedInput input that was read from sockets and is not decoded yet
 */
record FrontMemory(ClientMemory incompleteCommands, ClientMemory acceptedCommands, ClientMemory heldReplies,
                   ClientMemory undecodedInput) {
    /** Returns bounds of half of {@code memory}'s capacity each, of a quarter for undecoded input. */
    static FrontMemory of(ClientMemory memory) {
        return new FrontMemory(memory.half(), memory.half(), memory.half(), memory.half().half());
    }

    /** What is occupied and may be, for the log. */
    @Override public String toString() {
        return "incomplete commands=" + incompleteCommands + " accepted commands=" + acceptedCommands + " replies="
            + heldReplies + " undecoded input=" + undecodedInput;
    }
}
