package kelphollow.dissemination;

import java.util.ArrayList;
import java.util.List;
import kelphollow.digest.InstanceState;
import kelphollow.membership.MemberUpdate;

/** Packs updates and states into a few datagrams: what does not fit is found by a later comparison. */
final class DeltaBuilder {
    // Datagrams of one side of a comparison at most: as many as one list of versions can ask for.
    private static final int MAX_DATAGRAMS = 4;
    // In CBOR beside the name, in bytes; a requested name costs its length and two.
    private static final int UPDATE_BYTES = 48;
    private static final int NAME_BYTES = 2;

    private final int datagramBytes;
    private final List<AntiEntropy.Delta> complete = new ArrayList<>();
    private List<MemberUpdate> updates = new ArrayList<>();
    private List<InstanceState> states = new ArrayList<>();
    private int bytes;

    /** {@code datagramBytes}: what one datagram carries beside its header and seal. */
    DeltaBuilder(int datagramBytes) {
        this.datagramBytes = datagramBytes;
    }

    /** Adds what is not null, unless all datagrams are full. */
    void add(MemberUpdate update, InstanceState state) {
        int size = (update == null ? 0 : UPDATE_BYTES + update.name().length())
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

    /** The datagrams, with the requested names that fit into one more. */
    List<DisseminationOutput> build(String to, List<String> requested) {
        int bytesLeft = datagramBytes;
        int fitting = 0;
        for (String name : requested) {
            bytesLeft -= NAME_BYTES + name.length();
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
