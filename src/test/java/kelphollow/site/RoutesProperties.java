package kelphollow.site;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import kelphollow.site.Routes.Replica;
import kelphollow.site.Routes.Request;
import kelphollow.site.Routes.Route;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;

/** Routing decisions for arbitrary tables of routes. */
class RoutesProperties {
    private static final List<String> SITES = List.of("a", "b", "c", "d", "e");
    private static final Route VALID = new Route("x", 0, 9, "a", List.of());

    @Provide Arbitrary<Route> routes() {
        Arbitrary<Replica> replicas = Combinators.combine(Arbitraries.of(SITES), Arbitraries.integers().between(0, 2),
            Arbitraries.doubles().between(0.1, 10)).as(Replica::new);
        return Combinators.combine(Arbitraries.of(SITES), replicas.list().uniqueElements(Replica::site).ofMaxSize(4))
            .as((owner, chosen) -> new Route("bucket", 0, 99, owner,
                chosen.stream().filter(replica -> !replica.site().equals(owner)).toList()));
    }

    private static Routes at(String site, Route route) {
        try {
            return new Routes(site, SITES, List.of(route));
        } catch (Routes.InvalidRouteException e) {
            throw new AssertionError(e);
        }
    }

    @Property(tries = 300, seed = "17") void writesGoToTheOwnerOnlyAndReadsToAllThatHaveACopy(
        @ForAll("routes") Route route, @ForAll @IntRange(max = 99) int shard) {
        List<String> holders = new ArrayList<>(route.replicas().stream().map(Replica::site).toList());
        holders.add(route.owner());
        for (String site : SITES) {
            Routes routes = at(site, route);
            assertEquals(List.of(route.owner()), routes.choose(new Request("bucket", shard, true, List.of())).sites());
            List<String> readers = routes.choose(new Request("bucket", shard, false, List.of())).sites();
            assertEquals(holders.stream().sorted().toList(), readers.stream().sorted().toList(),
                "each site with a copy once");
            assertTrue(!holders.contains(site) || readers.get(0).equals(site), "the local site is not first");
            Map<String, Integer> tiers = new HashMap<>(Map.of(route.owner(), 0));
            route.replicas().forEach(replica -> tiers.put(replica.site(), replica.tier()));
            List<Integer> remoteTiers =
                readers.stream().filter(reader -> !reader.equals(site)).map(tiers::get).toList();
            assertEquals(remoteTiers.stream().sorted().toList(), remoteTiers, "remote sites ordered by tier");
        }
    }

    /** Even if the tables of two sites contradict each other, a request is forwarded at most once. */
    @Property(tries = 300, seed = "18") void aForwardedRequestIsServedOrRejectedButNotForwardedAgain(
        @ForAll("routes") Route here, @ForAll("routes") Route there, @ForAll boolean writes) {
        for (String first : SITES) {
            for (String second : at(first, here).choose(new Request("bucket", 1, writes, List.of())).sites()) {
                if (!second.equals(first)) {
                    Routes.Choice choice = at(second, there).choose(new Request("bucket", 1, writes, List.of(first)));
                    assertTrue(choice.sites().equals(List.of(second)) || choice.rejection() == Routes.Rejection.LOOP
                        && choice.sites().isEmpty());
                }
            }
        }
    }

    /** Removing a site moves only its own shards, as rendezvous hashing guarantees. */
    @Property(tries = 100, seed = "19") void removingAReplicaMovesOnlyItsOwnShards(
        @ForAll @IntRange(min = 0, max = 3) int removed) {
        List<Replica> all = List.of(new Replica("b", 1, 1), new Replica("c", 1, 2), new Replica("d", 1, 3),
            new Replica("e", 1, 0.5));
        List<Replica> left = all.stream().filter(replica -> replica != all.get(removed)).toList();
        Routes before = at("a", new Route("bucket", 0, 99, "a", all));
        Routes after = at("a", new Route("bucket", 0, 99, "a", left));
        for (int shard = 0; shard < 100; shard++) {
            Request request = new Request("bucket", shard, false, List.of());
            List<String> rest = new ArrayList<>(before.choose(request).sites());
            rest.remove(all.get(removed).site());
            assertEquals(rest, after.choose(request).sites());
        }
    }

    @Example void readsAreSpreadByWeight() {
        Route route = new Route("bucket", 0, 99_999, "a", List.of(new Replica("b", 1, 1), new Replica("c", 1, 3)));
        Routes routes = at("a", route);
        int toC = 0;
        for (int shard = 0; shard < 20_000; shard++) {
            toC += routes.choose(new Request("bucket", shard, false, List.of())).sites().get(1).equals("c") ? 1 : 0;
        }
        assertEquals(0.75, toC / 20_000.0, 0.01);
    }

    @Example void anInvalidRouteIsReportedByItsKey() {
        assertInvalid("routes[1].shards", new Route("x", 9, 12, "a", List.of()));
        assertInvalid("routes[1].shards", new Route("y", 5, 4, "a", List.of()));
        assertInvalid("routes[1].owner", new Route("y", 0, 4, "z", List.of()));
        assertInvalid("routes[1].replicas[0].site", new Route("y", 0, 4, "a", List.of(new Replica("a", 0, 1))));
        assertInvalid("routes[1].replicas[1].site",
            new Route("y", 0, 4, "a", List.of(new Replica("b", 0, 1), new Replica("q", 0, 1))));
        assertInvalid("routes[1].replicas[0].weight", new Route("y", 0, 4, "a", List.of(new Replica("b", 0, 0))));
    }

    private static void assertInvalid(String key, Route route) {
        Routes.InvalidRouteException thrown =
            assertThrows(Routes.InvalidRouteException.class, () -> new Routes("a", SITES, List.of(VALID, route)));
        assertEquals(key, thrown.key());
    }

    @Example void aShardThatNoRouteCoversIsRejected() {
        assertEquals(Routes.Rejection.NO_ROUTE,
            at("a", VALID).choose(new Request("x", 10, false, List.of())).rejection());
    }
}
