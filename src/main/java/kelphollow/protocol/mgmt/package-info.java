/**
 * The management protocol: operators' commands over TCP, one line of printable ASCII per connection, answered by one line.
 * The package only parses and answers; commands are executed by a
 * {@link kelphollow.protocol.mgmt.MgmtServer.CommandHandler}.
 */
package kelphollow.protocol.mgmt;
