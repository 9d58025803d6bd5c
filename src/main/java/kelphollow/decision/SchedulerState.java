package kelphollow.decision;

import java.util.Random;

/**
 * State of one instance, shared by the classes that carry out the steps of a decision. Confined to the thread
 * that drives {@link Control}.
 */
final class SchedulerState {
    /** Odd multiplier of seeds, so that instances with consecutive seeds draw different random numbers. */
    private static final long SEED_FACTOR = 0x9E3779B97F4A7C15L;

    final SettingsCatalog catalog;
    final DecisionContext context;
    final ActionBuffer actions = new ActionBuffer();
    final OpenRequests requests = new OpenRequests();
    final RequestSizes sizes;
    final VolumeTable volumes;
    final PendingQueues queues = new PendingQueues();
    final DeadlineQueue deadlines = new DeadlineQueue();
    final ArrivalCurveTagger tagger;
    final NodeTable nodes;
    final RetryPolicy retries;
    final KeyOrders keyOrders;

    /** @throws IllegalArgumentException naming the first invalid setting */
    SchedulerState(ControlSettings settings, long seed, double now) {
        catalog = new SettingsCatalog(settings);
        context = new DecisionContext(settings, catalog.shortestObjective(), now, new DecisionClock(now),
            new Random(seed * SEED_FACTOR));
        sizes = new RequestSizes(settings.meanUnits());
        volumes = new VolumeTable(context, sizes);
        tagger = new ArrivalCurveTagger(context, queues);
        nodes = new NodeTable(context, new FleetLatency(context));
        retries = new RetryPolicy(context, nodes);
        keyOrders = new KeyOrders(context);
    }

    double now() {
        return context.now();
    }
}
