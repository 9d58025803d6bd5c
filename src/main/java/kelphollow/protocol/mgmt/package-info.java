/**
 * The management line: operators' calls over TCP, one line of printable ASCII a connection, one line back. Reads and answers
 * only; what a call does is passed in as {@link kelphollow.protocol.mgmt.MgmtServer.CommandHandler}.
 */
package kelphollow.protocol.mgmt;
