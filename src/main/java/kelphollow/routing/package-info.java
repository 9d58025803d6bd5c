/**
 * Routing of requests between fronts and backends: {@link kelphollow.routing.RequestRouter} combines the lifecycles of
 * requests and attempts, the endpoint list with its overrides, and the decision module. Independent of any wire protocol;
 * each router is confined to one event loop.
 */
package kelphollow.routing;
