package kelphollow.site;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Which sites serve a shard of a bucket, in which order. The owner alone takes writes; reads may go to replicas, the local
 * site first, then by tier, and within a tier by weight: highest random weight (Thaler and Ravishankar 1998) in the weighted
 * form {@code -weight / ln(h)} (Schindelhauer and Schomaker 2005), so that all gateways choose alike, a shard keeps its
 * site, and a site that is removed moves its own shards only. Immutable and thread-safe.
 */
public final class Routes {
    /** A site that has a copy; a lower tier comes first, weights count among the sites of one tier. */
    public record Replica(String site, int tier, double weight) {}

    /** Shards {@code from} to {@code to} of a bucket, both included: who owns them, and who else can be read from. */
    public record Route(String bucket, int from, int to, String owner, List<Replica> replicas) {
        /** Copies the list. */
        public Route {
            replicas = List.copyOf(replicas);
        }

        boolean covers(String name, int shard) {
            return bucket.equals(name) && shard >= from && shard <= to;
        }
    }

    /** What a request's route depends on; {@code forwardedBy} are the sites that have forwarded it, the first one first. */
    public record Request(String bucket, int shard, boolean writes, List<String> forwardedBy) {
        /** Copies the list. */
        public Request {
            forwardedBy = List.copyOf(forwardedBy);
        }
    }

    /** Why a request is not routed. */
    public enum Rejection {
        /** No route covers the shard. */
        NO_ROUTE,
        /** It was forwarded here and would have to be forwarded once more: two sites name each other. */
        LOOP
    }

    /** Sites in the order in which they are to be tried; empty exactly if {@code rejection} is not null. */
    public record Choice(List<String> sites, Rejection rejection) {}

    /** A fault of the table: the key in the operator's file, and what is wrong with it. */
    public static final class InvalidRoute extends Exception {
        private static final long serialVersionUID = 1;
        private final String key;

        InvalidRoute(String key, String problem) {
            super(key + " " + problem);
            this.key = key;
        }

        /** Where in the list of routes, such as {@code routes[2].owner}. */
        public String key() {
            return key;
        }
    }

    private static final int OWNER_TIER = 0;
    private static final double OWNER_WEIGHT = 1;

    private final String localSite;
    private final Map<String, List<Route>> byBucket = new HashMap<>();

    /**
     * @param sites all sites that a route may name, the local one too
     * @throws InvalidRoute if a route names another site, or its shards overlap those of one before it
     */
    public Routes(String localSite, List<String> sites, List<Route> routes) throws InvalidRoute {
        this.localSite = localSite;
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String key = "routes[" + i + "]";
            check(route, key, sites);
            List<Route> ofBucket = byBucket.computeIfAbsent(route.bucket, bucket -> new ArrayList<>());
            for (Route other : ofBucket) {
                if (route.from <= other.to && other.from <= route.to) {
                    throw new InvalidRoute(key + ".shards", "overlap with those of another route of bucket "
                        + route.bucket + ": " + other.from + " to " + other.to);
                }
            }
            ofBucket.add(route);
        }
    }

    private static void check(Route route, String key, List<String> sites) throws InvalidRoute {
        if (route.from < 0 || route.from > route.to) {
            throw new InvalidRoute(key + ".shards", "must be a first shard from 0 on and a last one not below it");
        }
        if (!sites.contains(route.owner)) {
            throw new InvalidRoute(key + ".owner", "names '" + route.owner + "', which is no site");
        }
        List<String> named = new ArrayList<>(List.of(route.owner));
        for (int i = 0; i < route.replicas.size(); i++) {
            Replica replica = route.replicas.get(i);
            check(replica, key + ".replicas[" + i + "]", sites, named);
            named.add(replica.site);
        }
    }

    private static void check(Replica replica, String key, List<String> sites, List<String> named) throws InvalidRoute {
        if (!sites.contains(replica.site)) {
            throw new InvalidRoute(key + ".site", "names '" + replica.site + "', which is no site");
        }
        if (named.contains(replica.site)) {
            throw new InvalidRoute(key + ".site", "names '" + replica.site + "' a second time");
        }
        if (!(replica.weight > 0) || Double.isInfinite(replica.weight)) {
            throw new InvalidRoute(key + ".weight", "must be above 0");
        }
    }

    /** Where a request may go. One that was forwarded is served here or not at all. */
    public Choice choose(Request request) {
        Route route = byBucket.getOrDefault(request.bucket, List.of()).stream()
            .filter(candidate -> candidate.covers(request.bucket, request.shard)).findFirst().orElse(null);
        if (route == null) {
            return new Choice(List.of(), Rejection.NO_ROUTE);
        }
        List<String> sites = request.writes ? List.of(route.owner) : readers(route, request.shard);
        if (request.forwardedBy.isEmpty()) {
            return new Choice(sites, null);
        }
        return sites.contains(localSite) ? new Choice(List.of(localSite), null)
            : new Choice(List.of(), Rejection.LOOP);
    }

    /** The local site, then the owner with tier 0 and the replicas by their tiers. */
    private List<String> readers(Route route, int shard) {
        List<Replica> readers = new ArrayList<>(route.replicas);
        if (readers.stream().noneMatch(replica -> replica.site.equals(route.owner))) {
            readers.add(new Replica(route.owner, OWNER_TIER, OWNER_WEIGHT));
        }
        readers.sort(Comparator.comparing((Replica replica) -> !replica.site.equals(localSite))
            .thenComparingInt(Replica::tier).thenComparing(replica -> -score(route.bucket, shard, replica))
            .thenComparing(Replica::site));
        return readers.stream().map(Replica::site).toList();
    }

    private static double score(String bucket, int shard, Replica replica) {
        try {
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(
                (replica.site + '\0' + bucket + '\0' + shard).getBytes(StandardCharsets.UTF_8));
            // 53 bits, shifted by a half so that neither 0 nor 1 can come.
            double hash = ((ByteBuffer.wrap(digest).getLong() >>> 11) + 0.5) * 0x1.0p-53;
            return -replica.weight / Math.log(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java platform has SHA-256
        }
    }
}
