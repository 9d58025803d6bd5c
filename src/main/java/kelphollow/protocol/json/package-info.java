/**
 * JSON as plain maps, lists, strings, numbers and booleans, for configuration, records and reports. Depends on no other
 * package.
 */
package kelphollow.protocol.json;
