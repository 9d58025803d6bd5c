/**
 * The way of a request between fronts and backends: {@link kelphollow.routing.RequestRouter} joins the lifecycles of
 * requests and attempts, the endpoint list with its overrides, and the decision module. Knows no wire protocol; each
 * router is confined to one event loop.
 */
package kelphollow.routing;
