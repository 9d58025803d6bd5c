package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/** Packs updates and states into a bounded number of datagrams; what does not fit is left to a later comparison. */
final class DeltaBuilder {
    // Maximum number of datagrams from one side of a comparison: as many as one list of versions can ask for.
    private static final int MAX_DATAGRAMS = 4;
    // Size in CBOR without the characters of the name, in bytes: of an update, and of a requested name.
    private static final int UPDATE_OVERHEAD_BYTES = 48;
    private static final int NAME_OVERHEAD_BYTES = 2;

    private final int datagramBytes;
    private final List<AntiEntropy.Delta> complete = new ArrayList<>();
    private List<MemberUpdate> updates = new ArrayList<>();
    private List<InstanceState> states = new ArrayList<>();
    private int bytes;

    /** {@code datagramBytes}: payload of one datagram, without its header and seal. */
    DeltaBuilder(int datagramBytes) {
        this.datagramBytes = datagramBytes;
    }

    /** Adds an update and a state, either of which may be null, unless all datagrams are full. */
    void add(MemberUpdate update, InstanceState state) {
        int size = (update == null ? 0 : UPDATE_OVERHEAD_BYTES + update.name().length())
            + (state == null ? 0 : state.estimatedBytes());
        if (isFull() || size == 0) {
            return;
        }
        boolean overflows = bytes + size > datagramBytes || updates.size() + states.size() >= AntiEntropy.MAX_ENTRIES;
        if (bytes > 0 && overflows) {
            completeDatagram(List.of());
            if (isFull()) {
                return;
            }
        }
        if (update != null) {
            updates.add(update);
        }
        if (state != null) {
            states.add(state);
        }
        bytes += size;
    }

    private boolean isFull() {
        return complete.size() >= MAX_DATAGRAMS;
    }

    private void completeDatagram(List<String> requested) {
        AntiEntropy.Delta delta = new AntiEntropy.Delta(updates, states, requested);
        if (!delta.isEmpty()) {
            complete.add(delta);
        }
        updates = new ArrayList<>();
        states = new ArrayList<>();
        bytes = 0;
    }

    /** The datagrams, followed by one with as many of the requested names as fit. */
    List<DisseminationOutput> build(String to, List<String> requested) {
        int bytesLeft = datagramBytes;
        int fitting = 0;
        for (String name : requested) {
            bytesLeft -= NAME_OVERHEAD_BYTES + name.length();
            if (bytesLeft < 0 || fitting >= AntiEntropy.MAX_ENTRIES) {
                break;
            }
            fitting++;
        }
        completeDatagram(List.of());
        completeDatagram(requested.subList(0, fitting));
        return complete.stream()
            .<DisseminationOutput>map(delta -> new DisseminationOutput.SendComparison(to, delta)).toList();
    }
}
