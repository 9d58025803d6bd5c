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
 * Routing table of the sites that serve each shard of a bucket, in order of preference. Only the owner accepts writes. Reads
 * may go to replicas: the local site first, then by tier, and within a tier by highest random weight (Thaler and Ravishankar
 * 1998) in the weighted form {@code -weight / ln(h)} (Schindelhauer and Schomaker 2005). All gateways thus choose alike, a
 * shard keeps its site, and removing a site moves only its own shards. Immutable and thread-safe.
 */
public final class Routes {
    /** A site with a copy; lower tiers are preferred, and weights apply among the sites of one tier. */
    public record Replica(String site, int tier, double weight) {}

    /** The owner and the read replicas of shards {@code from} to {@code to}, both inclusive, of a bucket. */
    public record Route(String bucket, int from, int to, String owner, List<Replica> replicas) {
        /** Copies the list. */
        public Route {
            replicas = List.copyOf(replicas);
        }

        boolean covers(String name, int shard) {
            return bucket.equals(name) && shard >= from && shard <= to;
        }
    }

    /** What a request's route depends on; {@code forwardedBy} lists the sites that have forwarded it, in order. */
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
        /** It was forwarded to this site and would have to be forwarded again: two sites route to each other. */
        LOOP
    }

    /** Sites in the order in which to try them; empty if and only if {@code rejection} is not null. */
    public record Choice(List<String> sites, Rejection rejection) {}

    /** Thrown for an invalid entry of the table; names its key in the operator's file and the problem. */
    public static final class InvalidRouteException extends Exception {
        private static final long serialVersionUID = 1;
        private final String key;

        InvalidRouteException(String key, String problem) {
            super(key + " " + problem);
            this.key = key;
        }

        /** Returns the key in the list of routes, such as {@code routes[2].owner}. */
        public String key() {
            return key;
        }
    }

    private static final int OWNER_TIER = 0;
    private static final double OWNER_WEIGHT = 1;

    private final String localSite;
    private final Map<String, List<Route>> byBucket = new HashMap<>();

    /**
     * @param sites all sites that a route may name, including the local one
     * @throws InvalidRouteException if a route names another site, or its shards overlap those of an earlier route
     */
    public Routes(String localSite, List<String> sites, List<Route> routes) throws InvalidRouteException {
        this.localSite = localSite;
        for (int i = 0; i < routes.size(); i++) {
            Route route = routes.get(i);
            String key = "routes[" + i + "]";
            check(route, key, sites);
            List<Route> ofBucket = byBucket.computeIfAbsent(route.bucket, bucket -> new ArrayList<>());
            for (Route other : ofBucket) {
                if (route.from <= other.to && other.from <= route.to) {
                    throw new InvalidRouteException(key + ".shards", route.from + " to " + route.to + " overlap shards "
                        + other.from + " to " + other.to + " of another route of bucket " + route.bucket);
                }
            }
            ofBucket.add(route);
        }
    }

    private static void check(Route route, String key, List<String> sites) throws InvalidRouteException {
        if (route.from < 0 || route.from > route.to) {
            throw new InvalidRouteException(key + ".shards", "must be a range of shards from 0 on: " + route.from + " to "
                + route.to);
        }
        if (!sites.contains(route.owner)) {
            throw new InvalidRouteException(key + ".owner", "names '" + route.owner + "', which is not a configured site");
        }
        List<String> named = new ArrayList<>(List.of(route.owner));
        for (int i = 0; i < route.replicas.size(); i++) {
            Replica replica = route.replicas.get(i);
            check(replica, key + ".replicas[" + i + "]", sites, named);
            named.add(replica.site);
        }
    }

    private static void check(Replica replica, String key, List<String> sites, List<String> named)
        throws InvalidRouteException {
        if (!sites.contains(replica.site)) {
            throw new InvalidRouteException(key + ".site", "names '" + replica.site + "', which is not a configured site");
        }
        if (named.contains(replica.site)) {
            throw new InvalidRouteException(key + ".site", "names '" + replica.site + "' a second time");
        }
        if (!(replica.weight > 0) || Double.isInfinite(replica.weight)) {
            throw new InvalidRouteException(key + ".weight", "must be a finite number above 0, not " + replica.weight);
        }
    }

    /** Returns the sites that may serve a request. A request that was already forwarded is served here or rejected. */
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

    /** Returns the local site first, then the owner, which has tier 0, and the replicas by tier. */
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
            // 53 bits plus one half, so that the hash is neither 0 nor 1.
            double hash = ((ByteBuffer.wrap(digest).getLong() >>> 11) + 0.5) * 0x1.0p-53;
            return -replica.weight / Math.log(hash);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);   // every Java platform has SHA-256
        }
    }
}
