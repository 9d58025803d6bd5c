package kelphollow.membership;

/**
 * One member as this instance sees it.
 *
 * @param since when the state was entered, in milliseconds on the caller's clock; 0 for this instance itself
 * @param address the address that the member announces
 */
public record MemberView(String name, MemberUpdate.State state, long epoch, long incarnation, double since,
                         String address) {}
