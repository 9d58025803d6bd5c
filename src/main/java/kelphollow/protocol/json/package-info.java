/**
 * JSON as plain maps, lists, texts, numbers and booleans, for configuration, records and reports; knows no other
 * package.
 */
package kelphollow.protocol.json;
